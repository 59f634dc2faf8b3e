#include "StandIns/standin_target.h"

#include <algorithm>
#include <charconv>

namespace persimmonshelf {

std::string_view
path_of(std::string_view target)
{
  return target.substr(0, target.find('?'));
}

std::string
percent_decode(std::string_view text)
{
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned byte = 0;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(text.data() + i + 1, text.data() + i + 3, byte, 16).ptr ==
          text.data() + i + 3) {
      decoded.push_back(static_cast<char>(byte));
      i += 2;
      continue;
    }
    decoded.push_back(text[i]);
  }
  return decoded;
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
      return percent_decode(pair.substr(std::min(pair.size(), equals + 1)));
    }
    query.remove_prefix(std::min(query.size(), end + 1));
  }
  return {};
}

}
