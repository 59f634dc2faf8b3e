#include "StandIns/standin_line_record.h"

#include "platform/base64.h"

#include <doctest/doctest.h>

#include <boost/json.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

using namespace persimmonshelf;

namespace {

const std::string odd_bytes("\r \n\0\x80\xff\t ", 9);

std::string
decoded(const boost::json::value& text)
{
  return platform::decode_base64(std::string(text.as_string())).value_or("not base64");
}

}

TEST_CASE("the record of a line member keeps any bytes, settings and the transaction")
{
  const auto path = std::filesystem::temp_directory_path() /
                    ("line-record-" + std::to_string(::getpid()) + ".jsonl");
  const auto record = standin_line_record::create(path.string());
  REQUIRE(record);
  standin_line_session session;
  REQUIRE(session.apply("QUERY - SET name " + odd_bytes));
  REQUIRE(session.apply("QUERY - BEGIN READ"));
  REQUIRE(session.apply("QUERY - PREPARE s1 READ " + odd_bytes));
  const auto statement = session.apply("QUERY \x80 AFTER 1.2 EXECUTE s1 " + odd_bytes);
  REQUIRE(statement);
  record.value()->ran({ "m1", 7 }, statement.value(), session, "ROW " + odd_bytes + "\r\n");
  record.value()->refused({ "m1", 7 }, "QUERY  " + odd_bytes, "MALFORMED");
  record.value()->other_line({ "m1", 8 }, "line", odd_bytes);

  std::ifstream file(path);
  std::vector<boost::json::object> entries;
  for (std::string line; std::getline(file, line);) {
    entries.push_back(boost::json::parse(line).as_object());
  }
  std::filesystem::remove(path);
  REQUIRE(entries.size() == 3);
  CHECK(entries[0].at("kind") == "read");
  CHECK(entries[0].at("connection") == 7);
  CHECK(decoded(entries[0].at("id")) == "\x80");
  CHECK(decoded(entries[0].at("text")) == "EXECUTE s1 " + odd_bytes);
  CHECK(decoded(entries[0].at("shape")) == odd_bytes);
  CHECK(decoded(entries[0].at("item")) == odd_bytes);
  CHECK(decoded(entries[0].at("settings").at(0).at(1)) == odd_bytes);
  CHECK(entries[0].at("transaction") == 1);
  CHECK(entries[0].at("reads_only") == true);
  CHECK(decoded(entries[0].at("answer")) == "ROW " + odd_bytes + "\r\n");
  CHECK(entries[1].at("code") == "MALFORMED");
  CHECK(decoded(entries[1].at("line")) == "QUERY  " + odd_bytes);
  CHECK(entries[2].at("event") == "line");
  CHECK(decoded(entries[2].at("line")) == odd_bytes);
}

TEST_CASE("the record of line members fails if its file cannot be written")
{
  const auto record = standin_line_record::create("/proc/no such folder/record");
  REQUIRE(!record);
  CHECK(record.error().code == result_code::internal_error);
}
