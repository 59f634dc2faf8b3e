#pragma once

#include "Base/error.h"
#include "Base/ids.h"
#include "Base/instant.h"
#include "Base/result_code.h"
#include "Group/promotion.h"
#include "Net/http_connection.h"

#include <memory>

namespace persimmonshelf {

// Exports the metrics of one instance in Prometheus text format on a separate HTTP address.
class metrics
{
public:
  // Current values of the gauges.
  struct gauge_values
  {
    double callers = 0;
    double open_requests = 0;
    double config_version = 0;
    double key_version = 0;
    // 1 if the instance may currently accept keys, else 0; see key_evidence.
    double key_evidence = 0;
    double live_instances = 0;
    double homes = 0;
    double queued = 0;
    double slots_used = 0;
    double backend_connections = 0;
  };

  // Fails with address_unavailable if the address cannot be bound.
  static result<std::unique_ptr<metrics>> create(const tcp_address& address);
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  // Counts a finished request. `elapsed` is the time from its arrival to its answer.
  void record_request(const workspace_id& workspace,
                      result_code code,
                      run_outcome outcome,
                      duration elapsed);
  // Records the durations of the phases of a failover.
  void record_failover(const database_id& database, const failover_durations& durations);
  void set_gauges(const gauge_values& values);

private:
  struct state;
  explicit metrics(std::unique_ptr<state> owned);
  std::unique_ptr<state> state_;
};

}
