#pragma once

#include "Net/http_connection.h"
#include "StandIns/standin_backend_member.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace persimmonshelf {

// Replicates the log of one member to the others while it is the primary, with at most one request
// in flight to each. An entry is sent once its age reaches the replication delay of this member or
// of the receiver, whichever is larger.
class standin_replication
{
public:
  standin_replication(boost::asio::io_context& context,
                      standin_member& member,
                      const std::map<std::string, tcp_address>& peers);
  ~standin_replication();
  standin_replication(const standin_replication&) = delete;
  standin_replication& operator=(const standin_replication&) = delete;

  // Sends the entries that are due. Called after each change of the member.
  void replicate();

  void set_delay(std::chrono::milliseconds delay) { delay_ = delay; }
  std::chrono::milliseconds delay() const { return delay_; }

  // Blocks replication to and from these members.
  void set_refused(std::set<std::string> peers) { refused_ = std::move(peers); }
  bool is_refused(const std::string& name) const { return refused_.contains(name); }

  // While true, nothing is sent.
  void set_down(bool down) { down_ = down; }

private:
  struct receiver_state
  {
    std::string name;
    tcp_address address;
    std::shared_ptr<http_connection> connection;
    bool busy = false;
    // Term in which `matched` and `confirmed` are valid.
    term in_term;
    // Last position up to which the receiver's log matches; an assumption until `confirmed` is set
    // by the first success in the term.
    log_position matched;
    bool confirmed = false;
    std::chrono::milliseconds delay{ 0 };
    std::chrono::steady_clock::time_point last_sent;
  };

  void replicate_to(receiver_state& receiver);
  std::optional<standin_append> next_append(const receiver_state& receiver) const;
  void send(receiver_state& receiver, const standin_append& append);
  void handle_answer(receiver_state& receiver,
                     term in_term,
                     const http_failure* failure,
                     const std::string& body);
  void start_timer();

  boost::asio::io_context& context_;
  standin_member& member_;
  boost::asio::steady_timer timer_;
  std::map<std::string, receiver_state> peers_;
  std::set<std::string> refused_;
  std::chrono::milliseconds delay_{ 0 };
  bool down_ = false;
  // Held weakly by callbacks of connections, which may run after this object is destroyed.
  std::shared_ptr<int> lifetime_ = std::make_shared<int>(0);
};

boost::json::object
to_json(const standin_append& append);

// Returns none if a field is missing or has the wrong type.
std::optional<standin_append>
append_from_json(const boost::json::value& value);

}
