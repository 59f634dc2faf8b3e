#pragma once

#include "Base/instant.h"
#include "ProxyNode/api_client.h"
#include "platform/store_format.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace persimmonshelf {

// Keeps a copy of one table of the store. Reads the whole table, then follows its changes by long
// polls, and reads the whole table again when the store no longer has the history or has returned
// from an older copy. All rows of the copy are of one era of the store.
class table_watcher
{
public:
  struct handlers
  {
    // All rows by key, the version of the store at which they were read and the time at which they
    // were current.
    std::function<void(const std::map<std::string, platform::store_row>& rows,
                       const store_version& version,
                       instant confirmed_at)>
      updated;
    // Called when the store stops answering and when it answers again.
    std::function<void(bool reachable, const std::string& reason)> reachability_changed;
  };

  // `poll_wait` is the longest time for which the store may hold a call without changes, and the
  // interval at which the evidence is renewed. If `incremental` is false, the whole table is read
  // each time, at intervals of `poll_wait`.
  table_watcher(boost::asio::io_context& context,
                api_client& store,
                std::string table,
                duration poll_wait,
                bool incremental,
                handlers callbacks);

  // Starts or resumes reading, or stops after the call in flight.
  void set_active(bool active);
  // Longest time for which the store may hold the next call, or the delay between whole reads.
  void set_poll_wait(duration poll_wait) { poll_wait_ = poll_wait; }
  // Reads at once if active and no call is in flight.
  void poll_now();

private:
  void schedule_poll(duration delay);
  void poll();
  void read_page();
  void read_changes();
  void handle_page(const api_reply& reply);
  void handle_changes(const api_reply& reply);
  bool check_failure(const api_reply& reply);
  void read_again();
  void notify();

  api_client& store_;
  std::string table_;
  duration poll_wait_;
  bool incremental_;
  handlers handlers_;
  boost::asio::steady_timer timer_;
  std::map<std::string, platform::store_row> rows_;
  std::map<std::string, platform::store_row> pending_rows_;
  std::string from_key_;
  instant pending_read_at_{};
  store_version pending_version_;
  store_version version_;
  instant confirmed_at_{};
  bool has_snapshot_ = false;
  bool active_ = false;
  bool in_flight_ = false;
  bool reachable_ = true;
  unsigned failures_ = 0;
};

}
