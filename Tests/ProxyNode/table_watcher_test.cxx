#include <doctest/doctest.h>

#include "ProxyNode/table_watcher.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <functional>
#include <istream>
#include <memory>
#include <string>

using namespace persimmonshelf;

namespace {

// A store of one connection that answers each call with the body that a function returns.
class scripted_store
{
public:
  using answer_function = std::function<std::string(const std::string& target)>;

  scripted_store(boost::asio::io_context& context, answer_function answer)
    : acceptor_(context, { boost::asio::ip::address_v4::loopback(), 0 })
    , socket_(context)
    , answer_(std::move(answer))
  {
    acceptor_.async_accept(socket_, [this](const boost::system::error_code& failure) {
      if (!failure) {
        read_call();
      }
    });
  }

  tcp_address address() const { return { "127.0.0.1", acceptor_.local_endpoint().port() }; }

  // Era that the next answers state; empty for no header.
  std::string era;

private:
  void read_call()
  {
    boost::asio::async_read_until(
      socket_,
      received_,
      "\r\n\r\n",
      [this](const boost::system::error_code& failure, std::size_t) {
        if (failure) {
          return;
        }
        std::istream text(&received_);
        std::string method;
        std::string target;
        text >> method >> target;
        received_.consume(received_.size());
        const auto body = answer_(target);
        sent_ = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n" +
                (era.empty() ? "" : "Store-Era: " + era + "\r\n") + "\r\n" + body;
        boost::asio::async_write(
          socket_,
          boost::asio::buffer(sent_),
          [this](const boost::system::error_code&, std::size_t) { read_call(); });
      });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::streambuf received_;
  std::string sent_;
  answer_function answer_;
};

std::string
row(const std::string& key, int version)
{
  return R"({"table":"t","part":"","key":")" + key + R"(","value":"","ver":)" +
         std::to_string(version) + "}";
}

bool
is_feed(const std::string& target)
{
  return target.starts_with("/rows-feed");
}

}

// Guards against a row that exists only in the history which a drill of the store took back: once
// the store has given the watcher's revision out again, its feed reports no loss of history.
TEST_CASE("a table is read again after the store returned from an older copy")
{
  boost::asio::io_context context;
  std::unique_ptr<scripted_store> store;
  store = std::make_unique<scripted_store>(context, [&](const std::string& target) {
    if (is_feed(target)) {
      // The answer to this call and all later ones are of the next era, which is at revision 12.
      store->era = "2";
      return R"({"ver":12,"rows":[)" + row("late", 12) + "]}";
    }
    return store->era == "1"
             ? R"({"ver":9,"rows":[)" + row("lost", 9) + "]}"
             : R"({"ver":12,"rows":[)" + row("early", 8) + "," + row("late", 12) + "]}";
  });
  store->era = "1";
  api_client client(context, store->address(), std::string(platform::era_header));
  std::map<std::string, platform::store_row> rows;
  store_version version;
  table_watcher watcher(context,
                        client,
                        "t",
                        std::chrono::milliseconds(50),
                        true,
                        { [&](const auto& read, const store_version& at, instant) {
                           rows = read;
                           version = at;
                           if (at.era() == store_era(2)) {
                             context.stop();
                           }
                         },
                          [](bool, const std::string&) {} });
  watcher.set_active(true);
  context.run_for(std::chrono::seconds(5));
  CHECK(version == store_version(store_era(2), 12));
  CHECK_FALSE(rows.contains("lost"));
  REQUIRE(rows.contains("early"));
  CHECK(rows.at("early").version == store_version(store_era(2), 8));
  CHECK(rows.contains("late"));
}

// Guards against one copy of a table with rows of two histories.
TEST_CASE("a table whose pages are of two eras is read again")
{
  boost::asio::io_context context;
  std::unique_ptr<scripted_store> store;
  int pages = 0;
  store = std::make_unique<scripted_store>(context, [&](const std::string& target) {
    if (is_feed(target)) {
      return std::string(R"({"ver":9,"rows":[]})");
    }
    switch (++pages) {
      case 1:
        return R"({"ver":9,"has_more":true,"rows":[)" + row("a", 9) + "]}";
      case 2:
        store->era = "2";
        return R"({"ver":5,"rows":[)" + row("b", 5) + "]}";
      default:
        return R"({"ver":6,"rows":[)" + row("b", 5) + "]}";
    }
  });
  store->era = "1";
  api_client client(context, store->address(), std::string(platform::era_header));
  std::map<std::string, platform::store_row> rows;
  store_version version;
  table_watcher watcher(context,
                        client,
                        "t",
                        std::chrono::milliseconds(50),
                        true,
                        { [&](const auto& read, const store_version& at, instant) {
                           rows = read;
                           version = at;
                           context.stop();
                         },
                          [](bool, const std::string&) {} });
  watcher.set_active(true);
  context.run_for(std::chrono::seconds(5));
  CHECK(version == store_version(store_era(2), 6));
  CHECK_FALSE(rows.contains("a"));
  CHECK(rows.contains("b"));
}

// Guards against an answer of an unknown era that is taken for one of the present era.
TEST_CASE("an answer with an unreadable era is not used")
{
  boost::asio::io_context context;
  scripted_store store(context, [](const std::string&) { return std::string(R"({"ver":1})"); });
  store.era = "second";
  api_client client(context, store.address(), std::string(platform::era_header));
  std::optional<api_reply> answer;
  client.get("/rows-get?table=t", std::chrono::milliseconds(500), [&](api_reply reply) {
    answer = std::move(reply);
    context.stop();
  });
  context.run_for(std::chrono::seconds(5));
  REQUIRE(answer);
  CHECK(answer->status == 0);
}
