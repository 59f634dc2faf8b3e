#include "proxy_fleet.h"

#include "unread_bytes.h"

#include <doctest/doctest.h>

#include <boost/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <list>
#include <stdexcept>

namespace persimmonshelf {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

constexpr std::size_t bytes_per_megabyte = 1 << 20;
// Addresses of the stand-ins and of the instances.
const std::string platform_address = "127.0.3.1";
const std::string instance_network = "127.0.1.";
// Ports of a process that are numbered from the common base.
constexpr unsigned port_count = 5;
// Ports below the range that the system assigns to clients.
constexpr unsigned first_port = 20000;
constexpr unsigned end_port = 32000;
constexpr unsigned port_step = 37;
constexpr std::chrono::milliseconds sample_interval{ 20 };
// The list of connections is long, so it is read less often.
constexpr std::chrono::milliseconds held_sample_interval{ 100 };
constexpr double carrier_cores = 2;
constexpr double relaying_cores = 0.084;

// A port from which `port_count` are free on all addresses.
std::uint16_t
find_base_port(std::size_t instances)
{
  asio::io_context context;
  std::vector<std::string> addresses{ platform_address };
  for (std::size_t i = 1; i <= instances; ++i) {
    addresses.push_back(instance_network + std::to_string(i));
  }
  const auto start = first_port + static_cast<unsigned>(::getpid()) % 9000;
  for (auto base = start; base < end_port; base += port_step) {
    std::list<tcp::acceptor> acceptors;
    error_code failure;
    for (const auto& address : addresses) {
      for (unsigned i = 0; i < port_count && !failure; ++i) {
        acceptors.emplace_back(context, tcp::v4());
        acceptors.back().bind(
          { asio::ip::make_address(address), static_cast<std::uint16_t>(base + i) }, failure);
      }
    }
    if (!failure) {
      return static_cast<std::uint16_t>(base);
    }
  }
  throw std::runtime_error("no free ports");
}

std::string
text_of(const tcp::endpoint& endpoint)
{
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

json::object
configuration()
{
  const json::object route{ { "name", "r1" },
                            { "host", "db1" },
                            { "service", "g1" },
                            { "prefix", "/" },
                            { "kind", "primary" },
                            { "timeout_ms", 2000 },
                            { "target_latency_ms", 250 },
                            { "priority", 1 },
                            { "max_attempts", 2 },
                            { "max_staleness_ms", 2500 },
                            { "public", false } };
  const json::object group{ { "name", "g1" }, { "max_conns", 24 }, { "sync_replicas", 0 } };
  const json::object workspace{ { "name", "w1" },
                                { "api_keys", json::array{ "key1" } },
                                { "priority", 1 },
                                { "rate_per_s", 100000 },
                                { "burst", 100000 } };
  return { { "version", 1 },
           { "routes", json::array{ route } },
           { "services", json::array{ group } },
           { "limits", json::object{ { "tx_idle_ms", 3000 } } },
           { "tenants", json::array{ workspace } } };
}

}

std::unique_ptr<proxy_fleet>
proxy_fleet::create_single()
{
  std::unique_ptr<proxy_fleet> fleet(new proxy_fleet(1));
  fleet->start_platform();
  fleet->start_instance(carrier_cores);
  REQUIRE(fleet->request("WRITE first value"));
  return fleet;
}

std::unique_ptr<proxy_fleet>
proxy_fleet::create_relayed()
{
  std::unique_ptr<proxy_fleet> fleet(new proxy_fleet(3));
  fleet->start_platform();
  fleet->start_instance(carrier_cores);
  fleet->start_instance(carrier_cores);
  REQUIRE(fleet->request("WRITE first value"));
  fleet->start_instance(relaying_cores);
  REQUIRE(fleet->request("WRITE first value"));
  REQUIRE(fleet->run_until([&] { return fleet->relays(); }));
  return fleet;
}

proxy_fleet::proxy_fleet(std::size_t instances)
  : context(1)
  , instance_count_(instances)
  , base_port_(find_base_port(instances))
{
  auto pattern = (std::filesystem::temp_directory_path() / "proxy-limits-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  folder_ = pattern;
}

proxy_fleet::~proxy_fleet()
{
  instances_.clear();
  platform_.reset();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

tcp::endpoint
proxy_fleet::endpoint_of(std::size_t instance, listener kind) const
{
  return { asio::ip::make_address(instance_network + std::to_string(instance + 1)),
           static_cast<std::uint16_t>(base_port_ + static_cast<std::uint16_t>(kind)) };
}

tcp::endpoint
proxy_fleet::endpoint(listener kind) const
{
  return endpoint_of(instances_.size() - 1, kind);
}

void
proxy_fleet::start_platform()
{
  const auto address = [&](unsigned offset) {
    return platform_address + ":" + std::to_string(base_port_ + offset);
  };
  json::array members;
  for (unsigned i = 0; i < 2; ++i) {
    members.push_back(json::object{ { "id", "m" + std::to_string(i + 1) },
                                    { "address", address(i + 1) },
                                    { "zone", "z1" },
                                    { "primary", i == 0 } });
  }
  const json::object settings{ { "store", address(0) },
                               { "group", "g1" },
                               { "statement_ms", 1 },
                               { "members", members },
                               { "configuration", configuration() } };
  const auto path = folder_ + "/platform.json";
  std::ofstream(path) << json::serialize(settings);
  platform_ = std::make_unique<child_process>(
    std::vector<std::string>{ PERSIMMONSHELF_PLATFORM_PROGRAM, "--settings=" + path },
    folder_ + "/platform.log");
}

void
proxy_fleet::start_instance(double processor_cores)
{
  const auto index = instances_.size();
  const auto name = "i" + std::to_string(index + 1);
  const auto address = [&](listener kind) {
    return json::value(text_of(endpoint_of(index, kind)));
  };
  json::array seeds;
  for (std::size_t i = 0; i < instance_count_; ++i) {
    seeds.push_back(json::value(text_of(endpoint_of(i, listener::peers))));
  }
  const json::object settings{
    { "instance", name },
    { "zone", "z1" },
    { "seeds", seeds },
    { "listen",
      json::object{ { "callers", address(listener::callers) },
                    { "readiness", address(listener::readiness) },
                    { "relay", address(listener::relay) },
                    { "peers", address(listener::peers) },
                    { "metrics", address(listener::metrics) } } },
    { "store", json::object{ { "address", platform_address + ":" + std::to_string(base_port_) } } },
    { "duties",
      json::object{ { "address", platform_address + ":" + std::to_string(base_port_) },
                    { "lists", json::array() } } },
    { "key_revocation_ms", 5000 },
    { "stop_grace_s", 6 },
    { "configuration_limit_ms", 3000 },
    { "processor_cores", processor_cores },
    { "limits",
      json::object{ { "memory_mb", memory_limit_mb }, { "descriptors", descriptor_limit } } },
    { "first_start", index == 0 }
  };
  const auto path = folder_ + "/" + name + ".json";
  std::ofstream(path) << json::serialize(settings);
  instances_.push_back(std::make_unique<child_process>(
    std::vector<std::string>{ PERSIMMONSHELF_PROXY_PROGRAM, "run", "--settings", path },
    folder_ + "/" + name + ".log"));
  peak_descriptors_.push_back(0);
}

bool
proxy_fleet::run_until(const std::function<bool()>& condition)
{
  const auto end = std::chrono::steady_clock::now() + wait_limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    context.restart();
    context.run_for(sample_interval);
    sample();
  }
  return true;
}

void
proxy_fleet::sample()
{
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    peak_descriptors_[i] =
      std::max(peak_descriptors_[i], instances_[i]->open_descriptors().value_or(0));
  }
  const auto now = std::chrono::steady_clock::now();
  if (now >= next_held_sample_) {
    next_held_sample_ = now + held_sample_interval;
    peak_held_bytes_ = std::max(peak_held_bytes_,
                                instances_.back()->resident_memory().value_or(0) +
                                  unread_bytes(endpoint(listener::callers)));
  }
}

void
proxy_fleet::check_bounds()
{
  sample();
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    const auto memory_mb = instances_[i]->peak_memory().value_or(0) / bytes_per_megabyte;
    CAPTURE(i);
    MESSAGE("instance " << i + 1 << ": peak memory " << memory_mb << " MB, descriptors "
                        << peak_descriptors_[i]);
    CHECK(instances_[i]->is_running());
    CHECK(memory_mb < memory_limit_mb);
    CHECK(peak_descriptors_[i] < descriptor_limit);
  }
}

bool
proxy_fleet::relays()
{
  const auto path = folder_ + "/i" + std::to_string(instances_.size()) + ".log";
  std::ifstream log(path);
  const std::string text((std::istreambuf_iterator<char>(log)), std::istreambuf_iterator<char>());
  return text.find(R"("carries":"no")") != std::string::npos &&
         text.find(R"("carries":"yes")") == std::string::npos;
}

}
