#pragma once

#include "Adapters/daemon.h"

#include "Adapters/backend_client.h"
#include "Adapters/event_loop_thread.h"
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

// Messages that are passed between threads. `correlation_id` matches an answer to its request.
struct tagged_caller_request
{
  std::uint64_t correlation_id = 0;
  caller_request request;
};

struct tagged_caller_answer
{
  std::uint64_t correlation_id = 0;
  caller_answer answer;
};

struct tagged_operator_request
{
  std::uint64_t correlation_id = 0;
  operator_request request;
};

struct tagged_operator_answer
{
  std::uint64_t correlation_id = 0;
  operator_answer answer;
};

struct outgoing_peer_message
{
  // IP:PORT of the receiving instance.
  std::string address;
  wire::envelope message;
  std::uint64_t id = 0;
};

// A received message, or the id of an outgoing message of which nothing was sent.
struct peer_event
{
  std::optional<wire::envelope> message;
  std::uint64_t unsent_id = 0;
};

// Current monotonic time of this process.
instant
monotonic_now();

// Owns the engine, the adapters, the threads and the queues between them. A group of members is
// used only on the thread that its comment names.
struct daemon::state
{
  explicit state(const instance_settings& read);

  result<void> bind_addresses();
  void make_engine();
  engine_hooks make_engine_hooks();
  void serve_caller(const http_request& request, http_server::responder respond);
  void serve_operator(const http_request& request, http_server::responder respond);
  void tick();
  void sample_metrics(instant now);
  void begin_drain();
  void check_drain(instant now);
  void start();
  void stop();

  instance_settings settings;
  event_loop_thread engine_thread{ "ps-engine" };
  event_loop_thread caller_thread{ "ps-caller" };
  event_loop_thread backend_thread{ "ps-backend" };
  event_loop_thread peer_thread{ "ps-peer" };
  event_loop_thread platform_thread{ "ps-platform" };
  event_loop_thread operator_thread{ "ps-operator" };

  // Engine thread.
  std::unique_ptr<platform_adapter> platform;
  std::unique_ptr<persimmonshelf::engine> engine_core;
  std::unique_ptr<operator_service> operator_api;
  boost::asio::steady_timer tick_timer;
  instant next_metrics_sample;
  std::optional<instant> drain_deadline;

  // Caller thread.
  std::unique_ptr<http_server> caller_server;
  std::unordered_map<std::uint64_t, http_server::responder> pending_calls;
  std::uint64_t next_call_id = 1;

  // Operator thread.
  std::unique_ptr<http_server> operator_server;
  std::unordered_map<std::uint64_t, http_server::responder> pending_commands;
  std::uint64_t next_command_id = 1;

  // Used on the thread of the same name; `metrics_page` is used on the engine thread.
  std::unique_ptr<backend_client> backends;
  std::unique_ptr<platform_client> platform_requests;
  std::unique_ptr<peer_transport> peers;
  std::unique_ptr<metrics> metrics_page;

  // Queues between threads; each name gives the producer and the consumer.
  ring<tagged_caller_request> caller_to_engine;
  ring<tagged_caller_answer> engine_to_caller;
  ring<tagged_operator_request> operator_to_engine;
  ring<tagged_operator_answer> engine_to_operator;
  ring<backend_command> engine_to_backend;
  ring<backend_event> backend_to_engine;
  ring<outgoing_peer_message> engine_to_peer;
  ring<peer_event> peer_to_engine;
  ring<platform_call> engine_to_platform;
  ring<platform_reply> platform_to_engine;

  // Main thread.
  boost::asio::io_context main_context;

  // Shared between threads.
  std::atomic<bool> drain_finished{ false };
  std::atomic<bool> drain_completed{ true };
  std::atomic<std::size_t> caller_connections{ 0 };
  std::atomic<std::size_t> unanswered_calls{ 0 };
};

}
