// Measures the size of usage rows and the time to build the account of a month, by the number of
// runs of instances.

#include "Account/monthly_account.h"
#include "Account/usage_row.h"

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

namespace {

using namespace persimmonshelf;

// Usage row of an instance run that served 8 workspaces.
usage_row
make_row(std::uint64_t run)
{
  usage_row row;
  for (int i = 0; i < 8; ++i) {
    const workspace_id workspace("workspace-" + std::to_string(i));
    for (const auto counter : { usage_counter::answered,
                                usage_counter::unknown,
                                usage_counter::refused_inside_rate,
                                usage_counter::statement_us,
                                usage_counter::admitted,
                                usage_counter::ended }) {
      row.raise_to(workspace, std::string(counter), 160'000'000 + run);
    }
    row.raise_to(workspace, usage_counter::refused(result_code::deadline_expired), 1000 + run);
  }
  row.close();
  return row;
}

void
month_account(benchmark::State& state)
{
  const auto month = calendar_month::at(1'790'000'000);
  std::vector<table_row> rows;
  std::size_t bytes = 0;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    const auto run = static_cast<std::uint64_t>(i);
    rows.push_back({ usage_row::key(month, incarnation_id(0x9e3779b97f4a7c15U * (run + 1))),
                     make_row(run).to_json(),
                     1 });
    bytes += rows.back().key.size() + rows.back().value.size();
  }
  for (auto _ : state) {
    const auto built = monthly_account::build(month, rows, {});
    if (!built) {
      state.SkipWithError("the usage rows are invalid");
      return;
    }
  }
  state.counters["rows_bytes"] = static_cast<double>(bytes);
}

BENCHMARK(month_account)->Arg(21)->Arg(530)->Arg(13430)->Unit(benchmark::kMillisecond);

}

BENCHMARK_MAIN();
