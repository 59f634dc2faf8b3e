#include "ProxyNode/member_list_reader.h"

#include <utility>

namespace persimmonshelf {

member_list_reader::list
member_list_reader::read(const std::map<std::string, platform::store_row>& rows)
{
  list current;
  std::map<std::string, std::string> problems;
  for (const auto& [key, row] : rows) {
    auto parsed = platform::parse_member_row(row);
    if (parsed) {
      current.members.push_back(std::move(parsed.value()));
      continue;
    }
    const auto& reason = parsed.error().message;
    const auto known = problems_.find(key);
    if (known == problems_.end() || known->second != reason) {
      current.new_problems.push_back(reason);
    }
    problems.emplace(key, reason);
  }
  problems_ = std::move(problems);
  return current;
}

}
