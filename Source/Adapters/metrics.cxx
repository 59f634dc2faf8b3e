#include "Adapters/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <exception>
#include <string>
#include <utility>

namespace persimmonshelf {

namespace {

const prometheus::Histogram::BucketBoundaries second_buckets = { 0.001, 0.002, 0.005, 0.01, 0.02,
                                                                 0.05,  0.1,   0.25,  0.5,  1,
                                                                 2.5,   5,     10,    30 };

}

struct metrics::state
{
  state()
    : registry(std::make_shared<prometheus::Registry>())
    , requests(prometheus::BuildCounter()
                 .Name("persimmonshelf_requests_total")
                 .Help("Requests of callers by workspace, result code and outcome.")
                 .Register(*registry))
    , seconds(prometheus::BuildHistogram()
                .Name("persimmonshelf_request_seconds")
                .Help("Time from a request's arrival to its answer, by outcome.")
                .Register(*registry))
    , failovers(prometheus::BuildHistogram()
                  .Name("persimmonshelf_failover_seconds")
                  .Help("Length of the parts of failovers carried out by this instance.")
                  .Register(*registry))
    , gauges(prometheus::BuildGauge()
               .Name("persimmonshelf_state")
               .Help("State of the instance, by name.")
               .Register(*registry))
  {
  }

  void set(const std::string& name, double value) { gauges.Add({ { "name", name } }).Set(value); }

  std::shared_ptr<prometheus::Registry> registry;
  prometheus::Family<prometheus::Counter>& requests;
  prometheus::Family<prometheus::Histogram>& seconds;
  prometheus::Family<prometheus::Histogram>& failovers;
  prometheus::Family<prometheus::Gauge>& gauges;
  std::unique_ptr<prometheus::Exposer> exposer;
};

metrics::metrics(std::unique_ptr<state> owned)
  : state_(std::move(owned))
{
}

metrics::~metrics() = default;

result<std::unique_ptr<metrics>>
metrics::create(const tcp_address& address)
{
  const auto address_text = format_address(address);
  auto owned = std::make_unique<state>();
  // The exposer throws if the address cannot be bound.
  try {
    owned->exposer = std::make_unique<prometheus::Exposer>(address_text, 1);
  } catch (const std::exception& failure) {
    return fail(result_code::address_unavailable, address_text + ": " + failure.what());
  }
  owned->exposer->RegisterCollectable(owned->registry);
  return std::unique_ptr<metrics>(new metrics(std::move(owned)));
}

void
metrics::record_request(const workspace_id& workspace,
                        result_code code,
                        run_outcome outcome,
                        duration elapsed)
{
  state_->requests
    .Add({ { "workspace", workspace.get() },
           { "code", std::string(name_of(code)) },
           { "outcome", std::string(name_of(outcome)) } })
    .Increment();
  state_->seconds.Add({ { "outcome", std::string(name_of(outcome)) } }, second_buckets)
    .Observe(std::chrono::duration<double>(elapsed).count());
}

void
metrics::record_failover(const database_id& database, const failover_durations& durations)
{
  const auto observe = [&](const char* part, duration elapsed) {
    state_->failovers.Add({ { "database", database.get() }, { "part", part } }, second_buckets)
      .Observe(std::chrono::duration<double>(elapsed).count());
  };
  observe("detection", durations.detection);
  observe("agreement", durations.agreement);
  observe("resumption", durations.resumption);
}

void
metrics::set_gauges(const gauge_values& values)
{
  state_->set("callers", values.callers);
  state_->set("open_requests", values.open_requests);
  state_->set("config_version", values.config_version);
  state_->set("key_version", values.key_version);
  state_->set("key_evidence", values.key_evidence);
  state_->set("live_instances", values.live_instances);
  state_->set("homes", values.homes);
  state_->set("queued", values.queued);
  state_->set("slots_used", values.slots_used);
  state_->set("backend_connections", values.backend_connections);
}

}
