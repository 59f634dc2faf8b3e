#pragma once

#include "Checks/check_types.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

#include <cstdlib>
#include <set>

namespace persimmonshelf::checks {

namespace asio = boost::asio;

inline constexpr std::size_t max_log_bytes = 256 << 20;

// Contents of one member's log: number of writes by key and value.
struct log_contents
{
  std::uint64_t last_term = 0;
  std::uint64_t position = 0;
  std::map<std::string, std::map<std::uint64_t, int>> values;
  // Values of pairs of which an entry holds only one half. A transaction must write both halves in
  // one entry.
  std::set<std::string> split_pairs;
};

inline bool
get_json(const tcp_address& address, const std::string& target, json::object& body)
{
  asio::io_context context;
  auto connection = http_connection::create(context, max_log_bytes);
  bool got = false;
  connection->connect(address, std::chrono::seconds(2), [&](const std::string& reason) {
    if (!reason.empty()) {
      return;
    }
    http_request request;
    request.method = "GET";
    request.target = target;
    connection->send(request,
                     std::chrono::seconds(20),
                     [&](const http_failure* failure, const http_response& response) {
                       if (failure == nullptr) {
                         boost::system::error_code ignored;
                         const auto value = json::parse(response.body, ignored);
                         if (value.is_object()) {
                           body = value.as_object();
                           got = true;
                         }
                       }
                       connection->close();
                     });
  });
  context.run();
  return got;
}

inline bool
read_log(const tcp_address& address, log_contents& log)
{
  json::object body;
  if (!get_json(address, "/control/log?from=1", body) || !body.contains("entries")) {
    return false;
  }
  for (const auto& item : body.at("entries").as_array()) {
    log.last_term = item.at("term").to_number<std::uint64_t>();
    log.position = item.at("position").to_number<std::uint64_t>();
    std::map<std::string, std::uint64_t> pair;
    for (const auto& change : item.at("changes").as_array()) {
      const std::string key(change.at(1).as_string());
      const auto value = std::strtoull(change.at(2).as_string().c_str(), nullptr, 10);
      ++log.values[key][value];
      pair[key] = value;
    }
    for (const auto& [key, value] : pair) {
      const auto left = key.rfind("left");
      if (left != std::string::npos && pair[key.substr(0, left) + "right"] != value) {
        log.split_pairs.insert(key + "=" + std::to_string(value));
      }
    }
  }
  return true;
}

inline void
check_writes(const std::map<std::uint64_t, write_record>& writes,
             const std::string& key,
             const log_contents& log,
             totals& results)
{
  const auto found = log.values.find(key);
  for (const auto& [value, record] : writes) {
    int times = 0;
    if (found != log.values.end()) {
      const auto count = found->second.find(value);
      times = count == found->second.end() ? 0 : count->second;
    }
    const auto what = key + "=" + std::to_string(value) + " (request " + record.request + ")";
    if (record.outcome == reported_outcome::done && times != 1) {
      results.violations.push_back("acknowledged write " + what + " is in the log " +
                                   std::to_string(times) + " times");
    }
    if (record.outcome == reported_outcome::not_run && times != 0) {
      results.violations.push_back("write " + what + " was reported as not run but is in the log");
    }
    if (times > 1) {
      results.violations.push_back("write " + what + " ran " + std::to_string(times) + " times");
    }
  }
}
}
