#pragma once

#include "Base/error.h"
#include "StandIns/standin_backend_member.h"
#include "StandIns/standin_backend_replication.h"
#include "StandIns/standin_listener.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace persimmonshelf {

struct standin_backend_options
{
  tcp_address listen;
  std::string member;
  // All members of the group with their addresses; this member may be among them.
  std::map<std::string, tcp_address> peers;
  std::size_t slots = 3;
  std::size_t connections = 50;
  std::chrono::milliseconds connect_delay{ 12 };
  std::chrono::milliseconds statement_delay{ 0 };
  std::chrono::milliseconds replication_delay{ 0 };
  bool primary = false;
};

// Simulated backend server: the HTTP interface of a standin_member, its replication and the
// switches that inject faults. The protocol and the switches are described in docs/standins.md.
class standin_backend
{
public:
  // Fails with address_unavailable if the address cannot be bound.
  static result<std::unique_ptr<standin_backend>> create(boost::asio::io_context& context,
                                                         const standin_backend_options& options);
  ~standin_backend();
  standin_backend(const standin_backend&) = delete;
  standin_backend& operator=(const standin_backend&) = delete;

  standin_member& member() { return member_; }
  std::uint16_t port() const { return listener_->port(); }

  // Applies the switches from the body of POST /control. If one is unknown or invalid, applies none
  // and returns an error message; otherwise returns an empty string.
  std::string control(const boost::json::object& switches);

private:
  using responder = standin_listener::responder;

  // Long poll that waits for a change of the member.
  struct watch
  {
    accepted_number connection = 0;
    std::shared_ptr<boost::asio::steady_timer> timer;
    std::string request_id;
    responder respond;
  };

  standin_backend(boost::asio::io_context& context, const standin_backend_options& options);
  void handle(const standin_request& request, const responder& respond);
  void handle_control(const standin_request& request, const responder& respond);
  void handle_append(const standin_request& request, const responder& respond);
  void handle_term_request(const standin_request& request,
                           const boost::json::object& fields,
                           const responder& respond);
  void handle_call(standin_operation operation,
                   const standin_request& request,
                   const boost::json::object& fields,
                   const responder& respond);
  void finish_call(const standin_call& call, const responder& respond);
  void answer_call(boost::json::object body, unsigned status, const responder& respond);
  void start_watch(const standin_request& request, const responder& respond);
  void member_changed();
  void connection_closed(accepted_number number);
  void run_after(std::chrono::milliseconds delay, std::function<void()> run);
  void record_workspace_key(const standin_request& request);
  boost::json::object status(const std::string& request_id) const;
  boost::json::object statements() const;
  void set_down(bool down);

  boost::asio::io_context& context_;
  standin_backend_options options_;
  standin_member member_;
  std::unique_ptr<standin_replication> replication_;
  std::unique_ptr<standin_listener> listener_;
  std::map<std::uint64_t, watch> watches_;
  std::uint64_t next_watch_ = 1;
  // Connections on which no request is answered any more.
  std::set<accepted_number> silent_connections_;
  bool silence_new_connections_ = false;
  bool down_ = false;
  std::set<accepted_number> seen_connections_;
  std::int64_t drop_answers_ = 0;
  std::int64_t truncate_answers_ = 0;
  std::int64_t wrong_ids_ = 0;
  std::chrono::milliseconds answer_delay_{ 0 };
  std::chrono::milliseconds leaving_grace_{ 3000 };
  std::chrono::steady_clock::time_point leaving_since_;
  std::uint64_t calls_while_leaving_ = 0;
  std::uint64_t calls_after_grace_ = 0;
  std::vector<std::string> requests_with_key_;
  std::shared_ptr<int> lifetime_ = std::make_shared<int>(0);
};

}
