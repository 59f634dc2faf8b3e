#include "ProxyNode/node_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <utility>

namespace persimmonshelf {

namespace {

// From one round trip to the longest time limit.
const prometheus::Histogram::BucketBoundaries latency_buckets_s{ 0.002, 0.005, 0.01, 0.02,
                                                                 0.05,  0.1,   0.2,  0.5,
                                                                 1,     2,     5 };

// Classes beyond this number are counted together, so that edits of the configuration do not add
// metrics without bound.
constexpr std::size_t shown_class_limit = 32;
const std::string other_class = "other";
// Bounds the number of series; higher priorities share one.
constexpr std::uint32_t max_priority_label = 9;

std::string
result_label(const statement_answer& answer)
{
  if (!answer.error) {
    return "done";
  }
  return leaves_no_effect(*answer.error) ? "not_run" : "failed_or_unknown";
}

}

struct node_metrics::state
{
  prometheus::Registry registry;
  prometheus::Family<prometheus::Histogram>* answers = nullptr;
  prometheus::Family<prometheus::Histogram>* token_waits = nullptr;
  prometheus::Family<prometheus::Counter>* log_events = nullptr;
  prometheus::Family<prometheus::Counter>* positions = nullptr;
  prometheus::Family<prometheus::Counter>* member_answers = nullptr;
  prometheus::Family<prometheus::Counter>* limits = nullptr;
  prometheus::Family<prometheus::Gauge>* gauges = nullptr;
  prometheus::Family<prometheus::Gauge>* waiting = nullptr;
  prometheus::Family<prometheus::Counter>* refusals = nullptr;
  // Classes that were shown; those without a waiting request are shown as zero.
  std::map<std::string, prometheus::Gauge*> shown_classes;
  std::function<sample()> read;
  std::unique_ptr<http_server> server;

  void set_gauge(const std::string& name, double value)
  {
    gauges->Add({ { "name", name } }).Set(value);
  }

  void set_waiting(const std::map<std::string, double>& by_class)
  {
    for (const auto& [shown, gauge] : shown_classes) {
      gauge->Set(0);
    }
    for (const auto& [label, count] : by_class) {
      const bool known = shown_classes.contains(label);
      const auto& shown = known || shown_classes.size() < shown_class_limit ? label : other_class;
      auto& gauge = waiting->Add({ { "class", shown } });
      shown_classes[shown] = &gauge;
      gauge.Increment(count);
    }
  }

  void set_refusals(const std::map<std::string, double>& by_cause)
  {
    for (const auto& [cause, count] : by_cause) {
      auto& counter = refusals->Add({ { "cause", cause } });
      counter.Increment(count - counter.Value());
    }
  }
};

node_metrics::node_metrics(std::unique_ptr<state> owned)
  : state_(std::move(owned))
{
}

node_metrics::~node_metrics() = default;

result<std::unique_ptr<node_metrics>>
node_metrics::create(boost::asio::io_context& context,
                     const http_server_options& options,
                     std::function<sample()> read)
{
  auto owned = std::make_unique<state>();
  owned->read = std::move(read);
  owned->answers = &prometheus::BuildHistogram()
                      .Name("persimmonshelf_answer_seconds")
                      .Help("Time from a statement's arrival to its answer, by result.")
                      .Register(owned->registry);
  owned->token_waits =
    &prometheus::BuildHistogram()
       .Name("persimmonshelf_token_wait_seconds")
       .Help(
         "Waits of operations that found no token of their rate at once, by result and priority.")
       .Register(owned->registry);
  owned->log_events = &prometheus::BuildCounter()
                         .Name("persimmonshelf_decisions_total")
                         .Help("Lines of the decision log by event, dropped lines included.")
                         .Register(owned->registry);
  owned->positions = &prometheus::BuildCounter()
                        .Name("persimmonshelf_positions_total")
                        .Help("Observed log positions by origin and outcome.")
                        .Register(owned->registry);
  owned->member_answers = &prometheus::BuildCounter()
                             .Name("persimmonshelf_member_answers_total")
                             .Help("Answers of members by command and result.")
                             .Register(owned->registry);
  owned->limits = &prometheus::BuildCounter()
                     .Name("persimmonshelf_limits_total")
                     .Help("Clients that were refused or closed, by kind and by limit.")
                     .Register(owned->registry);
  owned->gauges = &prometheus::BuildGauge()
                     .Name("persimmonshelf_state")
                     .Help("Figures of the instance's present state.")
                     .Register(owned->registry);
  owned->waiting = &prometheus::BuildGauge()
                      .Name("persimmonshelf_waiting_requests")
                      .Help("Requests that wait for a member connection, by class.")
                      .Register(owned->registry);
  owned->refusals = &prometheus::BuildCounter()
                       .Name("persimmonshelf_connection_refusals_total")
                       .Help("Requests that were refused a member connection, by cause.")
                       .Register(owned->registry);
  std::unique_ptr<node_metrics> created(new node_metrics(std::move(owned)));
  auto* page = created.get();
  BOOST_OUTCOME_TRY(
    created->state_->server,
    http_server::create(
      context,
      options,
      [page](accepted_number, const http_request& request, const http_server::responder& send) {
        http_response response;
        response.content_type = "text/plain; version=0.0.4";
        if (request.target == "/metrics") {
          response.body = page->text();
        } else {
          response.status = 404;
        }
        send(std::move(response));
      }));
  return created;
}

void
node_metrics::record_answer(const statement_answer& answer, duration elapsed)
{
  state_->answers->Add({ { "result", result_label(answer) } }, latency_buckets_s)
    .Observe(std::chrono::duration<double>(elapsed).count());
}

void
node_metrics::record_token_wait(const token_wait& wait)
{
  state_->token_waits
    ->Add({ { "result", std::string(name_of(wait.outcome)) },
            { "priority", std::to_string(std::min(wait.priority, max_priority_label)) } },
          latency_buckets_s)
    .Observe(std::chrono::duration<double>(wait.waited).count());
}

void
node_metrics::count_log_event(const std::string& event)
{
  state_->log_events->Add({ { "event", event } }).Increment();
}

void
node_metrics::count_position(std::string_view origin, observation_outcome outcome)
{
  state_->positions
    ->Add({ { "origin", std::string(origin) }, { "outcome", std::string(name_of(outcome)) } })
    .Increment();
}

void
node_metrics::count_member_answer(member_command::command_kind kind, const member_reply& reply)
{
  std::string result = reply.answer.error ? std::string(name_of(*reply.answer.error)) : "done";
  if (reply.lost || reply.unsent) {
    result = reply.lost ? "lost" : "unsent";
  }
  state_->member_answers->Add({ { "command", std::string(name_of(kind)) }, { "result", result } })
    .Increment();
}

void
node_metrics::count_limit(std::string_view kind, std::string_view cause)
{
  state_->limits->Add({ { "kind", std::string(kind) }, { "cause", std::string(cause) } })
    .Increment();
}

std::string
node_metrics::text() const
{
  const auto now = state_->read();
  state_->set_gauge("callers", now.callers);
  state_->set_gauge("links", now.connections);
  state_->set_gauge("waiting", now.waiting);
  state_->set_gauge("instances", now.instances);
  state_->set_gauge("coordinates", now.is_coordinator);
  state_->set_gauge("configuration_version", now.configuration_version);
  state_->set_gauge("configuration_age_seconds", now.configuration_age);
  state_->set_gauge("groups_age_seconds", now.groups_age);
  state_->set_gauge("unusable_member_rows", now.unusable_member_rows);
  state_->set_gauge("evacuated_zones", now.evacuated_zones);
  state_->set_gauge("links_in_evacuated_zones", now.evacuated_connections);
  state_->set_gauge("store_era", now.store_era);
  state_->set_gauge("store_calls", now.store_calls);
  state_->set_gauge("log_lines_dropped", now.log_lines_dropped);
  state_->set_waiting(now.waiting_by_class);
  state_->set_refusals(now.refusals);
  state_->set_gauge("held_bytes", now.held_bytes);
  state_->set_gauge("held_bytes_limit", now.held_bytes_limit);
  state_->set_gauge("caller_limit", now.caller_limit);
  return prometheus::TextSerializer().Serialize(state_->registry.Collect());
}

}
