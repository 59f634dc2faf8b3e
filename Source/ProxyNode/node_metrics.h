#pragma once

#include "Base/error.h"
#include "Base/instant.h"
#include "Net/http_server.h"
#include "Proxy/admission.h"
#include "Proxy/caller_session.h"
#include "Proxy/member_command.h"
#include "Proxy/position_history.h"
#include "Proxy/statement.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace persimmonshelf {

// Counters and latency histograms of one proxy instance, served in the Prometheus text format on a
// separate HTTP address.
class node_metrics
{
public:
  // Gauges, sampled when the metrics are requested.
  struct sample
  {
    double callers = 0;
    double connections = 0;
    double waiting = 0;
    double instances = 0;
    double is_coordinator = 0;
    double configuration_version = 0;
    // Seconds since the configuration and the primaries of the groups were last confirmed. Negative
    // if they never were.
    double configuration_age = 0;
    double groups_age = 0;
    double unusable_member_rows = 0;
    // Zones that are out of use, and connections to members in them.
    double evacuated_zones = 0;
    double evacuated_connections = 0;
    // Newest era of the store that was read; zero if it states none.
    double store_era = 0;
    double store_calls = 0;
    double log_lines_dropped = 0;
    // Requests that wait for a member connection, by class.
    std::map<std::string, double> waiting_by_class;
    // Requests that were refused a member connection since the start, by cause.
    std::map<std::string, double> refusals;
    // Bytes that all clients hold together, and their limit.
    double held_bytes = 0;
    double held_bytes_limit = 0;
    // Number of callers that may be connected.
    double caller_limit = 0;
  };

  // Fails with address_unavailable if the address cannot be bound.
  static result<std::unique_ptr<node_metrics>> create(boost::asio::io_context& context,
                                                      const http_server_options& options,
                                                      std::function<sample()> read);
  ~node_metrics();
  node_metrics(const node_metrics&) = delete;
  node_metrics& operator=(const node_metrics&) = delete;

  // Counts an answer to a caller. `elapsed` is the time from the arrival of the statement to its
  // answer.
  void record_answer(const statement_answer& answer, duration elapsed);

  // Counts an operation that found no token of its workspace at once, and the time until it was
  // admitted, refused or cancelled.
  void record_token_wait(const token_wait& wait);

  // Counts one line of the decision log by its event.
  void count_log_event(const std::string& event);

  // Counts one observed log position. `origin` is how it reached this instance.
  void count_position(std::string_view origin, observation_outcome outcome);

  // Counts a member's answer to a command, or that none will come, or that it could not be sent.
  void count_member_answer(member_command::command_kind kind, const member_reply& reply);

  // Counts a client of this kind that was refused or closed because of a limit.
  void count_limit(std::string_view kind, std::string_view cause);

  // All metrics in the Prometheus text format.
  std::string text() const;

private:
  struct state;
  explicit node_metrics(std::unique_ptr<state> owned);
  std::unique_ptr<state> state_;
};

}
