#pragma once

#include "Base/instant.h"
#include "ProxyNode/store_access.h"
#include "platform/store_format.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace persimmonshelf {

// Keeps a copy of one table of the store: reads it whole, then follows its changes by held calls,
// and reads it whole again when the store no longer has the history.
class table_follower
{
public:
  struct handlers
  {
    // All rows by key, the revision they were read at and the instant at which they were current.
    std::function<void(const std::map<std::string, platform::store_row>& rows,
                       std::uint64_t revision,
                       instant as_of)>
      current;
    // Called when the store stops answering and when it answers again.
    std::function<void(bool reachable, const std::string& reason)> reachable;
  };

  // `hold` is how long the store may hold a call without changes; evidence is renewed that often.
  // Without `follow` the table is read whole each time, `hold` apart.
  table_follower(boost::asio::io_context& context,
                 store_access& store,
                 std::string table,
                 duration hold,
                 bool follow,
                 handlers calls);

  // Starts or goes on, or stops after the call in flight.
  void set_active(bool active);
  // How long the store may hold the next call, or how long to pause between whole reads.
  void set_hold(duration hold) { hold_ = hold; }
  // Reads now if active and no call is in flight.
  void hurry();

private:
  void next(duration pause);
  void step();
  void read_page();
  void read_feed();
  void page_arrived(const store_reply& reply);
  void feed_arrived(const store_reply& reply);
  bool failed(const store_reply& reply);
  void report();

  store_access& store_;
  std::string table_;
  duration hold_;
  bool follow_;
  handlers handlers_;
  boost::asio::steady_timer timer_;
  std::map<std::string, platform::store_row> rows_;
  std::map<std::string, platform::store_row> partial_;
  std::string from_key_;
  instant partial_sent_{};
  std::uint64_t partial_revision_ = 0;
  std::uint64_t revision_ = 0;
  instant as_of_{};
  bool complete_ = false;
  bool active_ = false;
  bool in_flight_ = false;
  bool reachable_ = true;
  unsigned failures_ = 0;
};

}
