#include "StandIns/standin_target.h"

#include "Base/percent_encoding.h"

#include <algorithm>

namespace persimmonshelf {

std::string_view
path_of(std::string_view target)
{
  return target.substr(0, target.find('?'));
}

std::string
decode_target_part(std::string_view part)
{
  return percent_decode(part).value_or(std::string(part));
}

std::string
query_value(std::string_view target, std::string_view name)
{
  auto query = target.substr(std::min(target.size(), path_of(target).size() + 1));
  while (!query.empty()) {
    const auto end = std::min(query.find('&'), query.size());
    const auto pair = query.substr(0, end);
    const auto equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) == name) {
      return decode_target_part(pair.substr(std::min(pair.size(), equals + 1)));
    }
    query.remove_prefix(std::min(query.size(), end + 1));
  }
  return {};
}

}
