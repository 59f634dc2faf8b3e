#include "Adapters/daemon.h"

#include "Adapters/backend_client.h"
#include "Adapters/caller_codec.h"
#include "Adapters/duty_thread.h"
#include "Adapters/metrics.h"
#include "Adapters/peer_transport.h"
#include "Adapters/platform_adapter.h"
#include "Base/digest.h"
#include "Base/ring.h"
#include "Engine/engine.h"
#include "Engine/operator_service.h"
#include "Net/http_server.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <glog/logging.h>

#include <atomic>
#include <csignal>
#include <unordered_map>
#include <utility>

namespace persimmonshelf {

namespace asio = boost::asio;

namespace {

constexpr std::size_t ring_capacity = 16384;
constexpr duration tick_interval = std::chrono::milliseconds(5);
constexpr duration metrics_interval = std::chrono::seconds(1);

instant
read_clock()
{
  return instant(
    std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

std::int64_t
read_utc_seconds()
{
  return std::chrono::duration_cast<std::chrono::seconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

// Messages between two threads. `token` pairs a request with its answer.
struct caller_item
{
  std::uint64_t token = 0;
  caller_request request;
};

struct caller_result
{
  std::uint64_t token = 0;
  caller_answer answer;
};

struct operator_item
{
  std::uint64_t token = 0;
  operator_request request;
};

struct operator_result
{
  std::uint64_t token = 0;
  operator_answer answer;
};

struct peer_item
{
  std::string address;
  wire::envelope message;
  std::uint64_t id = 0;
};

// A received message, or the id of a message that was certainly not sent.
struct peer_event
{
  std::optional<wire::envelope> message;
  std::uint64_t refused = 0;
};

}

// Owns everything; members are used on the thread that their comment names.
struct daemon::state
{
  explicit state(const instance_settings& read);

  result<void> open_addresses();
  void make_engine();
  engine_hooks make_hooks();
  void serve_caller(const http_request& request, http_server::responder respond);
  void serve_operator(const http_request& request, http_server::responder respond);
  void tick();
  void sample_metrics(instant now);
  void begin_drain();
  void check_drained(instant now);
  void start();
  void stop();

  instance_settings settings;
  duty_thread engine_thread{ "ps-engine" };
  duty_thread caller_thread{ "ps-caller" };
  duty_thread backend_thread{ "ps-backend" };
  duty_thread peer_thread{ "ps-peer" };
  duty_thread platform_thread{ "ps-platform" };
  duty_thread operator_thread{ "ps-operator" };

  // Engine's thread.
  std::unique_ptr<platform_adapter> platform;
  std::unique_ptr<persimmonshelf::engine> core;
  std::unique_ptr<operator_service> operators;
  asio::steady_timer tick_timer;
  instant next_metrics;
  std::optional<instant> drain_until;

  // Caller's thread.
  std::unique_ptr<http_server> callers;
  std::unordered_map<std::uint64_t, http_server::responder> open_calls;
  std::uint64_t next_call = 1;

  // Operator's thread.
  std::unique_ptr<http_server> operator_server;
  std::unordered_map<std::uint64_t, http_server::responder> open_commands;
  std::uint64_t next_command = 1;

  std::unique_ptr<backend_client> backends;
  std::unique_ptr<platform_client> platform_calls;
  std::unique_ptr<peer_transport> peers;
  std::unique_ptr<metrics> meter;

  ring<caller_item> caller_to_engine;
  ring<caller_result> engine_to_caller;
  ring<operator_item> operator_to_engine;
  ring<operator_result> engine_to_operator;
  ring<backend_command> engine_to_backend;
  ring<backend_event> backend_to_engine;
  ring<peer_item> engine_to_peer;
  ring<peer_event> peer_to_engine;
  ring<platform_call> engine_to_platform;
  ring<platform_reply> platform_to_engine;

  // Main thread.
  asio::io_context main_context;
  std::atomic<bool> finished{ false };
  std::atomic<bool> complete{ true };
  std::atomic<std::size_t> caller_connections{ 0 };
  std::atomic<std::size_t> unanswered_calls{ 0 };
};

daemon::state::state(const instance_settings& read)
  : settings(read)
  , tick_timer(engine_thread.context())
  , caller_to_engine(engine_thread.context(),
                     ring_capacity,
                     [this](caller_item item) {
                       core->submit(
                         std::move(item.request),
                         [this, token = item.token](caller_answer answer) {
                           engine_to_caller.push({ token, std::move(answer) });
                         },
                         read_clock());
                     })
  , engine_to_caller(caller_thread.context(),
                     ring_capacity,
                     [this](const caller_result& item) {
                       const auto found = open_calls.find(item.token);
                       if (found != open_calls.end()) {
                         const auto respond = std::move(found->second);
                         open_calls.erase(found);
                         --unanswered_calls;
                         respond(encode_caller_answer(item.answer));
                       }
                     })
  , operator_to_engine(engine_thread.context(),
                       ring_capacity,
                       [this](const operator_item& item) {
                         operators->handle(
                           item.request,
                           [this, token = item.token](operator_answer answer) {
                             engine_to_operator.push({ token, std::move(answer) });
                           },
                           read_clock());
                       })
  , engine_to_operator(operator_thread.context(),
                       ring_capacity,
                       [this](operator_result item) {
                         const auto found = open_commands.find(item.token);
                         if (found != open_commands.end()) {
                           const auto respond = std::move(found->second);
                           open_commands.erase(found);
                           http_response response;
                           response.status = item.answer.status;
                           response.body = std::move(item.answer.body);
                           respond(std::move(response));
                         }
                       })
  , engine_to_backend(backend_thread.context(),
                      ring_capacity,
                      [this](const backend_command& command) { backends->execute(command); })
  , backend_to_engine(
      engine_thread.context(),
      ring_capacity,
      [this](backend_event event) { core->backend_happened(std::move(event), read_clock()); })
  , engine_to_peer(peer_thread.context(),
                   ring_capacity,
                   [this](const peer_item& item) {
                     if (!peers->send(item.address, item.message)) {
                       peer_to_engine.push({ std::nullopt, item.id });
                     }
                   })
  , peer_to_engine(engine_thread.context(),
                   ring_capacity,
                   [this](const peer_event& event) {
                     if (event.message) {
                       core->peer_message(*event.message, read_clock());
                     } else {
                       core->peer_refused(event.refused, read_clock());
                     }
                   })
  , engine_to_platform(platform_thread.context(),
                       ring_capacity,
                       [this](platform_call call) { platform_calls->execute(std::move(call)); })
  , platform_to_engine(engine_thread.context(), ring_capacity, [this](platform_reply reply) {
    if (const auto callback = platform->take(std::move(reply))) {
      core->platform_answered(callback, read_clock());
    }
  })
{
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
  const auto peer_place =
    settings.peer_address.address + ":" + std::to_string(settings.peer_address.port);
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
  hooks.backend = [this](backend_command command) {
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
  hooks.ended = [this](const request_end& end) {
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
  core_settings.peer_address =
    settings.peer_address.address + ":" + std::to_string(settings.peer_address.port);
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
  figures.key_evidence = control.may_accept_keys(now) ? 1 : 0;
  figures.live_instances = static_cast<double>(control.members().live(now).size());
  for (const auto& [member, home] : core->homes().figures()) {
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
      core->platform_answered(callback, now);
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

daemon::daemon(std::unique_ptr<state> owned)
  : state_(std::move(owned))
{
}

daemon::~daemon() = default;

result<std::unique_ptr<daemon>>
daemon::create(const instance_settings& settings)
{
  auto owned = std::make_unique<state>(settings);
  BOOST_OUTCOME_TRY(owned->open_addresses());
  owned->make_engine();
  return std::unique_ptr<daemon>(new daemon(std::move(owned)));
}

bool
daemon::run()
{
  asio::signal_set signals(state_->main_context, SIGTERM, SIGINT);
  const auto work = asio::make_work_guard(state_->main_context);
  signals.async_wait([this](boost::system::error_code failure, int) {
    if (!failure) {
      asio::post(state_->engine_thread.context(), [this] { state_->begin_drain(); });
    }
  });
  LOG(INFO) << "instance=" << state_->settings.instance << " zone=" << state_->settings.zone
            << " started";
  state_->start();
  state_->main_context.run();
  state_->stop();
  return state_->complete.load();
}

}
