#pragma once

#include "Net/http_connection.h"

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace persimmonshelf::checks {

namespace json = boost::json;

// Outcome of one write as reported to the session.
enum class reported_outcome
{
  done,
  not_run,
  unknown,
};

struct write_record
{
  reported_outcome outcome = reported_outcome::unknown;
  std::string request;
};

struct totals
{
  std::uint64_t writes = 0;
  std::uint64_t reads = 0;
  std::uint64_t replica_reads = 0;
  std::uint64_t transactions = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  std::uint64_t lost_answers = 0;
  // Number of answers with an outcome other than done, by outcome and result code name.
  std::map<std::string, std::uint64_t> codes;
  std::vector<std::string> violations;
};

inline std::vector<std::string>
split_list(const std::string& list)
{
  std::vector<std::string> parts;
  std::istringstream text(list);
  for (std::string part; std::getline(text, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

struct options
{
  std::vector<tcp_address> callers;
  std::string key;
  std::string database;
  std::chrono::steady_clock::time_point end;
  std::chrono::milliseconds think_time{ 20 };
};

inline std::string
string_field(const json::object& fields, std::string_view name)
{
  const auto* value = fields.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

}
