#include <doctest/doctest.h>

#include "ProxyNode/node_metrics.h"

#include <boost/asio/io_context.hpp>

using namespace persimmonshelf;

// Guards against classes that are still shown as waiting after they were served, against metrics
// that grow with each edit of the priorities, and against refusals that are counted twice.
TEST_CASE("waiting classes and refusals are shown as they are")
{
  boost::asio::io_context context;
  node_metrics::sample current;
  current.waiting_by_class = { { "0/1", 3 }, { "2/none", 4 } };
  current.refusals = { { "expired", 5 } };
  auto created = node_metrics::create(context, http_server_options{}, [&] { return current; });
  REQUIRE(created);
  const auto shows = [&](const std::string& line) {
    return created.value()->text().find(line + "\n") != std::string::npos;
  };
  CHECK(shows(R"(persimmonshelf_waiting_requests{class="0/1"} 3)"));
  CHECK(shows(R"(persimmonshelf_connection_refusals_total{cause="expired"} 5)"));
  current.waiting_by_class.erase("0/1");
  current.refusals["expired"] = 6;
  CHECK(shows(R"(persimmonshelf_waiting_requests{class="0/1"} 0)"));
  CHECK(shows(R"(persimmonshelf_waiting_requests{class="2/none"} 4)"));
  CHECK(shows(R"(persimmonshelf_connection_refusals_total{cause="expired"} 6)"));
  for (int i = 0; i < 40; ++i) {
    current.waiting_by_class["3/" + std::to_string(i)] = 1;
  }
  CHECK(shows(R"(persimmonshelf_waiting_requests{class="other"} 10)"));
}
