#pragma once

#include "Base/error.h"
#include "Net/http_connection.h"
#include "Net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace persimmonshelf {

// Simulates the store that instances of the proxy read: tables of rows with one revision counter.
// Serves POST /rows-tx (conditional transactions), GET /rows-get (rows of a table) and GET
// /rows-feed (rows that changed after a revision; the call is held until there is one).
class standin_feed_store
{
public:
  // Fails with address_unavailable if the address cannot be bound.
  static result<std::unique_ptr<standin_feed_store>> create(boost::asio::io_context& context,
                                                            const tcp_address& address);
  standin_feed_store(const standin_feed_store&) = delete;
  standin_feed_store& operator=(const standin_feed_store&) = delete;
  ~standin_feed_store() = default;

  // Writes a row whatever its revision. The value is raw text, encoded as base64 on the wire.
  void put(const std::string& table, const std::string& key, std::string_view value);

  // Removes a row. Has no effect if it does not exist.
  void remove(const std::string& table, const std::string& key);

private:
  // Table and key.
  using row_id = std::pair<std::string, std::string>;
  struct row
  {
    // Value as base64.
    std::string value;
    std::uint64_t revision = 0;
    bool removed = false;
  };
  // A feed call that waits for a change.
  struct held_call
  {
    std::string table;
    std::uint64_t after = 0;
    http_server::responder send;
    boost::asio::steady_timer timer;
  };

  explicit standin_feed_store(boost::asio::io_context& context);
  void handle(const http_request& request, const http_server::responder& send);
  void handle_transaction(const std::string& body, const http_server::responder& send);
  void hold(std::string table,
            std::uint64_t after,
            std::chrono::milliseconds wait,
            http_server::responder send);
  void answer_held_calls();
  bool exists(const row_id& id) const;
  bool changed_after(const std::string& table, std::uint64_t after) const;
  boost::json::object answer() const;
  static boost::json::object describe(const row_id& id, const row& entry);
  boost::json::object changes(const std::string& table, std::uint64_t after) const;
  boost::json::object contents(const std::string& table,
                               const std::string& from,
                               std::uint64_t limit) const;

  boost::asio::io_context& context_;
  std::chrono::steady_clock::time_point started_at_;
  std::map<row_id, row> rows_;
  std::uint64_t revision_ = 0;
  std::list<held_call> held_;
  std::unique_ptr<http_server> server_;
};

}
