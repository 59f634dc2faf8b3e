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
daemon::state::open_addresses()
{
  http_server_options options;
  options.address = settings.caller_address.address;
  options.port = settings.caller_address.port;
  options.connection_limit = static_cast<std::size_t>(settings.caller_connection_limit);
  options.idle_timeout = settings.caller_idle_timeout;
  BOOST_OUTCOME_TRY(
    callers,
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
  const auto peer_place = format_address(settings.peer_address);
  BOOST_OUTCOME_TRY(
    peers,
    peer_transport::create(peer_thread.context(), peer_place, [this](wire::envelope message) {
      // A full ring drops the message; the sender counts it as unanswered.
      peer_to_engine.push({ std::move(message), 0 });
    }));
  BOOST_OUTCOME_TRY(meter, metrics::create(settings.metrics_address));
  backends =
    std::make_unique<backend_client>(backend_thread.context(), [this](backend_event event) {
      backend_to_engine.push(std::move(event));
    });
  platform_calls = std::make_unique<platform_client>(
    platform_thread.context(),
    settings.platform_address,
    settings.instance.get(),
    [this](platform_reply reply) { platform_to_engine.push(std::move(reply)); });
  return success();
}

engine_hooks
daemon::state::make_hooks()
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
    meter->request_ended(end.workspace, end.code, end.outcome, end.elapsed);
  };
  hooks.failed_over = [this](const database_id& database, const failover_durations& lengths) {
    meter->failed_over(database, lengths);
  };
  hooks.utc = read_utc_seconds;
  return hooks;
}

void
daemon::state::make_engine()
{
  platform = std::make_unique<platform_adapter>(
    [this](platform_call call) { return engine_to_platform.push(std::move(call)); });
  engine_settings core_settings;
  core_settings.instance = settings.instance;
  core_settings.incarnation = incarnation_id(random_bits());
  core_settings.zone = settings.zone;
  core_settings.peer_address = format_address(settings.peer_address);
  core_settings.seed_peers = settings.seed_peers;
  core_settings.session_secret = settings.session_secret;
  core_settings.start_sequence = static_cast<std::uint64_t>(read_utc_seconds()) * 1000;
  core =
    std::make_unique<persimmonshelf::engine>(std::move(core_settings), make_hooks(), read_clock());
  operators = std::make_unique<operator_service>(*core, [this] { begin_drain(); });
}

void
daemon::state::serve_caller(const http_request& request, http_server::responder respond)
{
  caller_connections.store(callers->connection_count());
  auto decoded = decode_caller_request(request);
  if (!decoded) {
    respond(encode_caller_answer(refuse(decoded.error().code, decoded.error().message)));
    return;
  }
  const auto token = next_call++;
  open_calls.emplace(token, std::move(respond));
  ++unanswered_calls;
  if (caller_to_engine.push({ token, std::move(decoded).value() })) {
    return;
  }
  const auto refuse_call = std::move(open_calls.at(token));
  open_calls.erase(token);
  --unanswered_calls;
  refuse_call(encode_caller_answer(refuse(result_code::overloaded, "the instance is overloaded")));
}

void
daemon::state::serve_operator(const http_request& request, http_server::responder respond)
{
  const auto token = next_command++;
  open_commands.emplace(token, std::move(respond));
  operator_to_engine.push({ token, { request.method, request.target, request.body } });
}

void
daemon::state::sample_metrics(instant now)
{
  next_metrics = now + metrics_interval;
  metrics::sample figures;
  auto& control = core->control();
  figures.callers = static_cast<double>(caller_connections.load());
  figures.open_requests = static_cast<double>(core->entry().open_requests());
  figures.config_version = static_cast<double>(control.config_document().version().get());
  figures.key_version = static_cast<double>(control.key_document().version().get());
  figures.key_evidence = control.evidence().evaluate(now).reason.empty() ? 1 : 0;
  figures.live_instances = static_cast<double>(control.members().live(now).size());
  for (const auto& [member, home] : core->homes().stats()) {
    ++figures.homes;
    figures.queued += static_cast<double>(home.queued);
    figures.slots_used += static_cast<double>(home.slots_used);
    figures.backend_connections += static_cast<double>(home.connections);
  }
  meter->record(figures);
}

void
daemon::state::tick()
{
  tick_timer.expires_after(tick_interval);
  tick_timer.async_wait([this](boost::system::error_code failure) {
    if (failure) {
      return;
    }
    const auto now = read_clock();
    for (const auto& callback : platform->take_refused()) {
      core->run_platform_callback(callback, now);
    }
    core->tick(now);
    operators->tick(now);
    if (now >= next_metrics) {
      sample_metrics(now);
    }
    check_drained(now);
    tick();
  });
}

void
daemon::state::begin_drain()
{
  if (drain_until) {
    return;
  }
  LOG(INFO) << "instance=" << settings.instance << " planned stop begins";
  const auto now = read_clock();
  drain_until = now + settings.drain_timeout;
  core->drain(now);
  // Callers whose answers are still due keep their connections until they got them.
  asio::post(caller_thread.context(), [this] { callers->drain(); });
}

void
daemon::state::check_drained(instant now)
{
  if (!drain_until || finished.load()) {
    return;
  }
  const bool quiet = core->drained() && unanswered_calls.load() == 0;
  if (quiet || now >= *drain_until) {
    complete.store(quiet);
    finished.store(true);
    LOG(INFO) << "instance=" << settings.instance
              << (quiet ? " planned stop is complete" : " planned stop timed out");
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
