#include "Adapters/daemon_state.h"

#include "Adapters/caller_codec.h"
#include "Base/digest.h"

#include <boost/asio/post.hpp>

#include <glog/logging.h>

#include <utility>

namespace persimmonshelf {

namespace asio = boost::asio;

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(5);
constexpr duration metrics_interval = std::chrono::seconds(1);

std::int64_t
read_utc_seconds()
{
  return std::chrono::duration_cast<std::chrono::seconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

}

result<void>
daemon::state::bind_addresses()
{
  http_server_options options;
  options.address = settings.caller_address.address;
  options.port = settings.caller_address.port;
  options.connection_limit = static_cast<std::size_t>(settings.caller_connection_limit);
  options.idle_timeout = settings.caller_idle_timeout;
  BOOST_OUTCOME_TRY(
    caller_server,
    http_server::create(
      caller_thread.context(),
      options,
      [this](accepted_number, const http_request& request, http_server::responder respond) {
        serve_caller(request, std::move(respond));
      }));
  http_server_options operator_options;
  operator_options.address = settings.operator_address.address;
  operator_options.port = settings.operator_address.port;
  BOOST_OUTCOME_TRY(
    operator_server,
    http_server::create(
      operator_thread.context(),
      operator_options,
      [this](accepted_number, const http_request& request, http_server::responder respond) {
        serve_operator(request, std::move(respond));
      }));
  const auto peer_address = format_address(settings.peer_address);
  BOOST_OUTCOME_TRY(
    peers,
    peer_transport::create(peer_thread.context(), peer_address, [this](wire::envelope message) {
      // If the queue is full, the message is dropped and the sender treats it as unanswered.
      peer_to_engine.push({ std::move(message), 0 });
    }));
  BOOST_OUTCOME_TRY(metrics_page, metrics::create(settings.metrics_address));
  backends =
    std::make_unique<backend_client>(backend_thread.context(), [this](backend_event event) {
      backend_to_engine.push(std::move(event));
    });
  platform_requests = std::make_unique<platform_client>(
    platform_thread.context(),
    settings.platform_address,
    settings.instance.get(),
    [this](platform_reply reply) { platform_to_engine.push(std::move(reply)); });
  return success();
}

engine_hooks
daemon::state::make_engine_hooks()
{
  engine_hooks hooks;
  hooks.run_backend_command = [this](backend_command command) {
    return engine_to_backend.push(std::move(command));
  };
  hooks.send_peer = [this](const std::string& address, wire::envelope message, std::uint64_t id) {
    return engine_to_peer.push({ address, std::move(message), id });
  };
  hooks.table = platform->table();
  hooks.list_instances = [this](platform_adapter::list_callback done) {
    platform->list_instances(std::move(done));
  };
  hooks.random_bits = random_bits;
  hooks.log = [this](const std::string& text) {
    LOG(INFO) << "instance=" << settings.instance << " " << text;
  };
  hooks.request_ended = [this](const request_end& end) {
    metrics_page->record_request(end.workspace, end.code, end.outcome, end.elapsed);
  };
  hooks.failed_over = [this](const database_id& database, const failover_durations& durations) {
    metrics_page->record_failover(database, durations);
  };
  hooks.utc = read_utc_seconds;
  return hooks;
}

void
daemon::state::make_engine()
{
  platform = std::make_unique<platform_adapter>(
    [this](platform_call call) { return engine_to_platform.push(std::move(call)); });
  engine_settings new_settings;
  new_settings.instance = settings.instance;
  new_settings.incarnation = incarnation_id(random_bits());
  new_settings.zone = settings.zone;
  new_settings.peer_address = format_address(settings.peer_address);
  new_settings.seed_peers = settings.seed_peers;
  new_settings.session_secret = settings.session_secret;
  new_settings.start_sequence = static_cast<std::uint64_t>(read_utc_seconds()) * 1000;
  engine_core = std::make_unique<persimmonshelf::engine>(
    std::move(new_settings), make_engine_hooks(), monotonic_now());
  operator_api = std::make_unique<operator_service>(*engine_core, [this] { begin_drain(); });
}

void
daemon::state::serve_caller(const http_request& request, http_server::responder respond)
{
  caller_connections.store(caller_server->connection_count());
  auto decoded = decode_caller_request(request);
  if (!decoded) {
    respond(
      encode_caller_answer(make_not_run_answer(decoded.error().code, decoded.error().message)));
    return;
  }
  const auto correlation_id = next_call_id++;
  pending_calls.emplace(correlation_id, std::move(respond));
  ++unanswered_calls;
  if (caller_to_engine.push({ correlation_id, std::move(decoded).value() })) {
    return;
  }
  const auto respond_now = std::move(pending_calls.at(correlation_id));
  pending_calls.erase(correlation_id);
  --unanswered_calls;
  respond_now(encode_caller_answer(
    make_not_run_answer(result_code::overloaded, "the instance is overloaded")));
}

void
daemon::state::serve_operator(const http_request& request, http_server::responder respond)
{
  const auto correlation_id = next_command_id++;
  pending_commands.emplace(correlation_id, std::move(respond));
  operator_to_engine.push({ correlation_id, { request.method, request.target, request.body } });
}

void
daemon::state::sample_metrics(instant now)
{
  next_metrics_sample = now + metrics_interval;
  metrics::gauge_values values;
  auto& control = engine_core->control();
  values.callers = static_cast<double>(caller_connections.load());
  values.open_requests = static_cast<double>(engine_core->entry().open_requests());
  values.config_version = static_cast<double>(control.config_document().version().get());
  values.key_version = static_cast<double>(control.key_document().version().get());
  values.key_evidence = control.evidence().evaluate(now).reason.empty() ? 1 : 0;
  values.live_instances = static_cast<double>(control.members().live(now).size());
  for (const auto& [member, home] : engine_core->homes().stats()) {
    ++values.homes;
    values.queued += static_cast<double>(home.queued);
    values.slots_used += static_cast<double>(home.slots_used);
    values.backend_connections += static_cast<double>(home.connections);
  }
  metrics_page->set_gauges(values);
}

void
daemon::state::tick()
{
  tick_timer.expires_after(tick_interval);
  tick_timer.async_wait([this](boost::system::error_code failure) {
    if (failure) {
      return;
    }
    const auto now = monotonic_now();
    for (const auto& callback : platform->take_failed_callbacks()) {
      engine_core->run_platform_callback(callback, now);
    }
    engine_core->tick(now);
    operator_api->tick(now);
    if (now >= next_metrics_sample) {
      sample_metrics(now);
    }
    check_drain(now);
    tick();
  });
}

void
daemon::state::begin_drain()
{
  if (drain_deadline) {
    return;
  }
  LOG(INFO) << "instance=" << settings.instance << " drain started";
  const auto now = monotonic_now();
  drain_deadline = now + settings.drain_timeout;
  engine_core->drain(now);
  // A connection with a request in flight stays open until its response has been sent.
  asio::post(caller_thread.context(), [this] { caller_server->drain(); });
}

void
daemon::state::check_drain(instant now)
{
  if (!drain_deadline || drain_finished.load()) {
    return;
  }
  const bool drained = engine_core->drained() && unanswered_calls.load() == 0;
  if (drained || now >= *drain_deadline) {
    drain_completed.store(drained);
    drain_finished.store(true);
    LOG(INFO) << "instance=" << settings.instance
              << (drained ? " drain completed" : " drain timed out with requests in flight");
    main_context.stop();
  }
}

void
daemon::state::start()
{
  asio::post(engine_thread.context(), [this] { tick(); });
  for (auto* thread : { &backend_thread,
                        &peer_thread,
                        &platform_thread,
                        &operator_thread,
                        &engine_thread,
                        &caller_thread }) {
    thread->start();
  }
}

void
daemon::state::stop()
{
  for (auto* thread : { &caller_thread,
                        &engine_thread,
                        &operator_thread,
                        &platform_thread,
                        &peer_thread,
                        &backend_thread }) {
    thread->stop();
  }
}

}
