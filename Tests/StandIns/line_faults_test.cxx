#include "StandIns/standin_line_group.h"

#include <doctest/doctest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

using namespace persimmonshelf;

namespace {

// A group of one primary with faults.
class faulty_group
{
public:
  explicit faulty_group(const standin_line_faults::options& faults)
    : path_(std::filesystem::temp_directory_path() /
            ("line-faults-" + std::to_string(::getpid()) + ".jsonl"))
  {
    // The port is free again once the socket that found it is closed.
    boost::asio::ip::tcp::acceptor free_port(context_,
                                             { boost::asio::ip::address_v4::loopback(), 0 });
    endpoint_ = free_port.local_endpoint();
    free_port.close();
    standin_line_group::options group;
    group.name = "g1";
    group.members.push_back({ "m1", { "127.0.0.1", endpoint_.port() }, true });
    group.record = path_.string();
    group.faults = faults;
    group_ = std::move(standin_line_group::create(context_, group).value());
    thread_ = std::thread([this] { context_.run(); });
  }
  ~faulty_group()
  {
    context_.stop();
    thread_.join();
    std::filesystem::remove(path_);
  }
  faulty_group(const faulty_group&) = delete;
  faulty_group& operator=(const faulty_group&) = delete;

  // All that the member sends for these messages until it closes, after the READY for START.
  std::string answers(const std::string& messages)
  {
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(endpoint_);
    // A line that the grammar does not know ends the connection.
    boost::asio::write(socket, boost::asio::buffer("START g1 w m1\r\n" + messages + "BYE\r\n"));
    std::string received;
    boost::system::error_code failure;
    boost::asio::read(socket, boost::asio::dynamic_buffer(received), failure);
    return received.substr(received.find('\n') + 1);
  }

  // Event, and code or kind, of all messages with an id.
  std::string events() const
  {
    std::ifstream file(path_);
    std::string events;
    for (std::string line; std::getline(file, line);) {
      const auto entry = boost::json::parse(line).as_object();
      const bool ran = entry.at("event") == "ran";
      if (ran || entry.at("event") == "refused") {
        events += ran ? "ran " + std::string(entry.at("kind").as_string()) +
                          std::string(entry.at("ending").as_string().empty() ? "" : ", ") +
                          std::string(entry.at("ending").as_string())
                      : std::string(entry.at("code").as_string()) + " by " +
                          std::string(entry.at("reason").as_string());
        events += "; ";
      }
    }
    return events;
  }

private:
  std::filesystem::path path_;
  boost::asio::io_context context_{ 1 };
  boost::asio::ip::tcp::endpoint endpoint_;
  std::unique_ptr<standin_line_group> group_;
  std::thread thread_;
};

}

TEST_CASE("a line member without faults refuses and loses nothing")
{
  faulty_group group({});
  CHECK(group.answers("QUERY 1 WRITE a x\r\nQUERY 2 READ a\r\n") ==
        "DONE -\r\nREADY I 1.2\r\nROW x\r\nDONE -\r\nREADY I 1.2\r\n");
  CHECK(group.events() == "ran write; ran read; ");
}

TEST_CASE("a refusal of a line member fails the transaction, whose end rolls back")
{
  standin_line_faults::options faults;
  faults.statements = { 1000, 0, 0, 0 };
  faulty_group group(faults);
  CHECK(
    group.answers("QUERY 1 BEGIN\r\nQUERY 2 WRITE a x\r\nQUERY 3 SET n v\r\nQUERY 4 COMMIT\r\n") ==
    "DONE -\r\nREADY T 1.1\r\nERROR BUSY m1\r\nREADY E 1.1\r\nERROR MALFORMED m1\r\n"
    "READY E 1.1\r\nDONE -\r\nREADY I 1.1\r\n");
  CHECK(group.events() ==
        "ran session; BUSY by fault; MALFORMED by failed_transaction; ran rollback; ");
}

TEST_CASE("a line member whose preparation was refused knows no such name")
{
  standin_line_faults::options faults;
  faults.session = { 0, 1000, 0, 0 };
  faulty_group group(faults);
  CHECK(
    group.answers("QUERY - PREPARE s READ q\r\nQUERY 1 EXECUTE s a\r\nQUERY 2 EXECUTE t a\r\n") ==
    "ERROR FAILED m1\r\nREADY I 1.1\r\nERROR NOSTMT m1\r\nREADY I 1.1\r\n"
    "ERROR NOSTMT m1\r\nREADY I 1.1\r\n");
  CHECK(group.events() == "FAILED by fault; NOSTMT by refused_preparation; NOSTMT by message; ");
}

TEST_CASE("a line member that loses or cuts an answer records what ran")
{
  const std::string whole = "DONE -\r\nREADY I 1.2\r\n";
  standin_line_faults::options lost;
  lost.lost = 1000;
  standin_line_faults::options cut;
  cut.cut = 1000;
  standin_line_faults::options closed;
  closed.closed = 1000;
  for (const auto& faults : { lost, cut, closed }) {
    faulty_group group(faults);
    const auto received = group.answers("QUERY 1 WRITE a x\r\nQUERY 2 READ a\r\n");
    CHECK(whole.starts_with(received));
    CHECK((received == whole) == (faults.closed != 0));
    CHECK((faults.lost == 0 || received.empty()));
    CHECK(group.events() == std::string("ran write, ") + (faults.lost != 0  ? "lost; "
                                                          : faults.cut != 0 ? "cut; "
                                                                            : "closed; "));
  }
}

TEST_CASE("a line member whose time for a statement is over may have run it")
{
  standin_line_faults::options faults;
  faults.statements = { 0, 0, 1000, 0 };
  faulty_group group(faults);
  for (int i = 0; i < 20; ++i) {
    CHECK(group.answers("QUERY 1 WRITE a x\r\n").starts_with("ERROR TIMEOUT m1\r\nREADY I "));
  }
  CHECK(group.events().find("ran write") != std::string::npos);
  CHECK(group.events().find("TIMEOUT by fault") != std::string::npos);
}
