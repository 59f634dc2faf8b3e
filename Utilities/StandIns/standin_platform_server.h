#pragma once

#include "Base/error.h"
#include "StandIns/standin_listener.h"
#include "StandIns/standin_platform_store.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace persimmonshelf {

// Simulated platform services: table, objects and list of instances, with switches that inject
// delays, outages and lost requests or answers. The protocol and the switches are described in
// docs/standins.md.
class standin_platform
{
public:
  // Fails with address_unavailable if the address cannot be bound.
  static result<std::unique_ptr<standin_platform>> create(boost::asio::io_context& context,
                                                          const tcp_address& listen);
  ~standin_platform();
  standin_platform(const standin_platform&) = delete;
  standin_platform& operator=(const standin_platform&) = delete;

  std::uint16_t port() const { return listener_->port(); }
  standin_store& store() { return store_; }

  // Applies the switches from the body of POST /control. If one is unknown or invalid, applies none
  // and returns an error message; otherwise returns an empty string.
  std::string control(const boost::json::object& switches);

private:
  using responder = standin_listener::responder;

  explicit standin_platform(boost::asio::io_context& context);
  void handle(const standin_request& request, const responder& respond);
  void handle_control(const standin_request& request, const responder& respond);
  std::string set_instances(const boost::json::value& body);
  standin_reply run(const standin_request& request);
  standin_reply run_table(const standin_request& request, std::string_view path);
  standin_reply run_transaction(const standin_request& request);
  standin_reply run_object(const standin_request& request, std::string_view path);
  void run_after(std::chrono::milliseconds delay, std::function<void()> run);

  boost::asio::io_context& context_;
  std::unique_ptr<standin_listener> listener_;
  standin_store store_;
  boost::json::value instances_;
  std::chrono::milliseconds delay_{ 0 };
  bool outage_ = false;
  bool silent_ = false;
  std::int64_t lose_answers_ = 0;
  std::int64_t drop_requests_ = 0;
  std::set<std::string> cut_clients_;
  struct counts
  {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
  };
  // Number of executed requests by client.
  std::map<std::string, counts> request_counts_;
  std::shared_ptr<int> lifetime_ = std::make_shared<int>(0);
};

}
