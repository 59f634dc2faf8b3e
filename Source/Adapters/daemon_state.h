#pragma once

#include "Adapters/daemon.h"

#include "Adapters/backend_client.h"
#include "Adapters/duty_thread.h"
#include "Adapters/metrics.h"
#include "Adapters/peer_transport.h"
#include "Adapters/platform_adapter.h"
#include "Base/ring.h"
#include "Engine/engine.h"
#include "Engine/operator_service.h"
#include "Net/http_server.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace persimmonshelf {

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

// Monotonic time of this process.
instant
read_clock();

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
  boost::asio::steady_timer tick_timer;
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
  boost::asio::io_context main_context;
  std::atomic<bool> finished{ false };
  std::atomic<bool> complete{ true };
  std::atomic<std::size_t> caller_connections{ 0 };
  std::atomic<std::size_t> unanswered_calls{ 0 };
};

}
