// Measures the latency of statements from concurrent callers, either through a fleet or directly at
// the members. Each caller has one connection and one request in flight.

#include "Net/http_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

namespace {

using namespace persimmonshelf;
namespace asio = boost::asio;
namespace json = boost::json;
using clock = std::chrono::steady_clock;

constexpr auto call_timeout = std::chrono::seconds(10);

struct workload
{
  bool direct = false;
  bool write = false;
  std::vector<tcp_address> targets;
  std::string key;
  // Pause of a caller between an answer and its next request.
  std::chrono::milliseconds pause{ 0 };
  clock::time_point measured_from;
  clock::time_point end;
};

struct totals
{
  std::vector<std::int64_t> microseconds;
  std::map<std::string, std::uint64_t> failures;
};

class caller : public std::enable_shared_from_this<caller>
{
public:
  caller(asio::io_context& context, const workload& settings, std::size_t number, totals& results)
    : context_(context)
    , settings_(settings)
    , number_(number)
    , results_(results)
    , timer_(context)
  {
  }

  void start()
  {
    connection_ = http_connection::create(context_);
    connection_->connect(settings_.targets[number_ % settings_.targets.size()],
                         call_timeout,
                         [self = shared_from_this()](const std::string& reason) {
                           if (!reason.empty()) {
                             ++self->results_.failures["connect: " + reason];
                             return;
                           }
                           self->next();
                         });
  }

private:
  http_request make_request()
  {
    const auto key = "k" + std::to_string(number_);
    const auto text =
      settings_.write ? "PUT " + key + " value-" + std::to_string(count_) : "GET " + key;
    json::object body{ { "statement", text }, { "kind", settings_.write ? "write" : "read" } };
    http_request request;
    request.method = "POST";
    if (settings_.direct) {
      request.target = "/v1/statement";
      body["request_id"] =
        (settings_.write ? "w" : "r") + std::to_string(number_) + "-" + std::to_string(count_);
      body["term"] = 1;
    } else {
      request.target = "/v1/routes/shop/statement";
      request.authorization = "Bearer " + settings_.key;
      body["database"] = "orders";
      body["deadline_ms"] = 8000;
    }
    ++count_;
    request.body = json::serialize(body);
    return request;
  }

  void next()
  {
    const auto sent = clock::now();
    if (sent >= settings_.end) {
      connection_->close();
      return;
    }
    connection_->send(
      make_request(),
      call_timeout,
      [self = shared_from_this(), sent](const http_failure* failure, const http_response& answer) {
        self->answered(sent, failure, answer);
      });
  }

  void answered(clock::time_point sent, const http_failure* failure, const http_response& answer)
  {
    if (failure != nullptr) {
      ++results_.failures[failure->reason];
      start();
      return;
    }
    const auto now = clock::now();
    if (answer.status != 200) {
      ++results_.failures[std::to_string(answer.status) + " " + answer.body.substr(0, 90)];
    } else if (sent >= settings_.measured_from) {
      results_.microseconds.push_back(
        std::chrono::duration_cast<std::chrono::microseconds>(now - sent).count());
    }
    if (settings_.pause.count() == 0) {
      next();
      return;
    }
    timer_.expires_after(settings_.pause);
    timer_.async_wait([self = shared_from_this()](const auto&) { self->next(); });
  }

  asio::io_context& context_;
  const workload& settings_;
  std::size_t number_;
  totals& results_;
  asio::steady_timer timer_;
  std::shared_ptr<http_connection> connection_;
  std::uint64_t count_ = 0;
};

std::int64_t
quantile(const std::vector<std::int64_t>& sorted, double fraction)
{
  return sorted.empty()
           ? -1
           : sorted[static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1))];
}

int
run(workload settings, std::size_t callers, int seconds)
{
  asio::io_context context;
  totals results;
  // The first fifth of the run opens connections and fills caches. It is not measured.
  const auto begin = clock::now();
  settings.measured_from = begin + std::chrono::milliseconds(seconds * 200);
  settings.end = begin + std::chrono::seconds(seconds);
  for (std::size_t i = 0; i < callers; ++i) {
    std::make_shared<caller>(context, settings, i, results)->start();
  }
  context.run_until(settings.end + std::chrono::seconds(12));
  std::sort(results.microseconds.begin(), results.microseconds.end());
  std::cout << (settings.direct ? "direct" : "fleet") << " " << (settings.write ? "write" : "read")
            << " callers " << callers << " done " << results.microseconds.size() << " per_second "
            << results.microseconds.size() * 10 / (static_cast<std::size_t>(seconds) * 8)
            << " p50_us " << quantile(results.microseconds, 0.5) << " p99_us "
            << quantile(results.microseconds, 0.99);
  std::uint64_t failed = 0;
  for (const auto& [reason, count] : results.failures) {
    failed += count;
    std::cerr << "path_latency: " << count << " failed: " << reason << "\n";
  }
  std::cout << " failed " << failed << std::endl;
  return results.microseconds.empty() ? 1 : 0;
}

}

int
main(int argc, char** argv)
{
  if (argc != 7 && argc != 8) {
    std::cerr << "usage: path_latency direct|fleet read|write CALLERS SECONDS ADDRESS,... KEY_FILE "
                 "[PAUSE_MS]\n";
    return 2;
  }
  workload settings;
  settings.direct = std::string(argv[1]) == "direct";
  settings.write = std::string(argv[2]) == "write";
  std::istringstream list(argv[5]);
  for (std::string part; std::getline(list, part, ',');) {
    tcp_address address;
    if (!parse_address(part, address)) {
      std::cerr << "path_latency: expected IP:PORT, found " << part << "\n";
      return 2;
    }
    settings.targets.push_back(address);
  }
  std::ifstream key(argv[6]);
  std::getline(key, settings.key);
  if (argc == 8) {
    settings.pause = std::chrono::milliseconds(std::strtol(argv[7], nullptr, 10));
  }
  return run(std::move(settings),
             std::strtoull(argv[3], nullptr, 10),
             static_cast<int>(std::strtol(argv[4], nullptr, 10)));
}
