#include "Account/usage_ledger.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

constexpr std::int64_t us_per_s = 1'000'000;
constexpr std::int64_t milli_per_request = 1'000;

// Appends the counters of `row` whose value differs from `mirrored`.
void
append_changes(std::vector<usage_value>& values,
               const calendar_month& month,
               const usage_row& row,
               const usage_row& mirrored)
{
  for (const auto& [workspace, counters] : row.counters()) {
    for (const auto& [name, value] : counters) {
      if (value != mirrored.value(workspace, name)) {
        values.push_back({ month.text(), workspace, name, value });
      }
    }
  }
}

}

usage_ledger::usage_ledger(incarnation_id incarnation,
                           const usage_settings& settings,
                           table_hooks table,
                           std::function<instant()> now,
                           std::int64_t utc)
  : incarnation_(incarnation)
  , settings_(settings)
  , table_(std::move(table))
  , now_(std::move(now))
  , utc_(utc)
  , month_(calendar_month::at(utc))
{
}

usage_writer&
usage_ledger::writer_for(month_writers& months,
                         const calendar_month& month,
                         incarnation_id incarnation)
{
  auto& writer = months[month];
  if (!writer) {
    writer =
      std::make_unique<usage_writer>(usage_row::key(month, incarnation), settings_, table_, now_);
  }
  return *writer;
}

void
usage_ledger::count(const workspace_id& workspace, std::string_view counter, std::uint64_t amount)
{
  writer_for(own_, month_, incarnation_).row().add(workspace, std::string(counter), amount);
}

void
usage_ledger::tick(instant now, std::int64_t utc)
{
  utc_ = std::max(utc_, utc);
  // A closed month is not reopened if the wall clock is set back.
  month_ = std::max(month_, calendar_month::at(utc));
  for (auto& [month, writer] : own_) {
    if (month < month_ && !writer->row().closed()) {
      writer->row().close();
    }
    writer->tick(now);
  }
  for (auto& [incarnation, peer] : peers_) {
    if (!peer.failed) {
      continue;
    }
    for (auto& [month, writer] : peer.months) {
      writer->tick(now);
    }
  }
  std::erase_if(peers_, [](const auto& item) {
    const auto& months = item.second.months;
    return std::all_of(months.begin(), months.end(), [](const auto& entry) {
      return entry.second->row().closed() && entry.second->written();
    });
  });
}

std::vector<usage_value>
usage_ledger::take_changes()
{
  std::vector<usage_value> values;
  for (const auto& [month, writer] : own_) {
    append_changes(values, month, writer->row(), mirrored_[month]);
    mirrored_[month] = writer->row();
  }
  return values;
}

std::vector<usage_value>
usage_ledger::all_values() const
{
  std::vector<usage_value> values;
  for (const auto& [month, writer] : own_) {
    append_changes(values, month, writer->row(), usage_row());
  }
  return values;
}

void
usage_ledger::on_mirror(incarnation_id peer, const std::vector<usage_value>& values, bool closed)
{
  if (peer == incarnation_) {
    return;
  }
  auto& state = peers_[peer];
  for (const auto& value : values) {
    const auto month = calendar_month::parse(value.month);
    if (month) {
      writer_for(state.months, month.value(), peer)
        .row()
        .raise_to(value.workspace, value.counter, value.value);
    }
  }
  if (!closed) {
    return;
  }
  // The incarnation may have ended between its last mirror and its last write, so its rows are also
  // written from here.
  state.failed = true;
  for (auto& [month, writer] : state.months) {
    writer->row().close();
  }
}

std::uint64_t
usage_ledger::max_admitted(const usage_share& share, duration gap)
{
  // Multiplying whole seconds and the remainder separately avoids overflow: the product of a day in
  // microseconds and a high rate exceeds 64 bits.
  const auto length = std::max<std::int64_t>(0, gap.count());
  const auto earned = length / us_per_s * share.rate_milli +
                      (length % us_per_s * share.rate_milli + us_per_s - 1) / us_per_s;
  const auto milli = earned + share.burst_milli + share.borrowed_milli;
  return static_cast<std::uint64_t>((milli + milli_per_request - 1) / milli_per_request);
}

void
usage_ledger::on_peer_failed(incarnation_id peer,
                             const std::vector<usage_share>& shares,
                             duration gap,
                             const std::string& cause)
{
  auto& state = peers_[peer];
  state.failed = true;
  // The incarnation may have counted requests in every month that the gap overlaps.
  const auto began = utc_ - gap.count() / us_per_s - 1;
  for (auto month = calendar_month::at(began); month <= month_; month = month.plus(1)) {
    writer_for(state.months, month, peer);
  }
  for (const auto& share : shares) {
    std::uint64_t admitted = 0;
    std::uint64_t ended = 0;
    for (const auto& [month, writer] : state.months) {
      admitted += writer->row().value(share.workspace, usage_counter::admitted);
      ended += writer->row().value(share.workspace, usage_counter::ended);
    }
    const auto open_requests = admitted > ended ? admitted - ended : 0;
    for (auto& [month, writer] : state.months) {
      writer->row().add_bound({ share.workspace, max_admitted(share, gap) + open_requests, cause });
    }
  }
}

void
usage_ledger::remove_peer(incarnation_id peer)
{
  peers_.erase(peer);
}

void
usage_ledger::close()
{
  for (auto& [month, writer] : own_) {
    writer->row().close();
    writer->write_on_next_tick();
  }
}

bool
usage_ledger::written() const
{
  return std::all_of(
    own_.begin(), own_.end(), [](const auto& item) { return item.second->written(); });
}

bool
usage_ledger::peers_written() const
{
  return std::all_of(peers_.begin(), peers_.end(), [](const auto& item) {
    const auto& months = item.second.months;
    return !item.second.failed || std::all_of(months.begin(), months.end(), [](const auto& entry) {
      return entry.second->written();
    });
  });
}

}
