#pragma once

#include <boost/json/object.hpp>

#include <set>
#include <string>
#include <string_view>

namespace persimmonshelf {

// Formats the fields of a response for a terminal: scalars as "name: value", lists of objects as a
// table with aligned columns, and nested objects indented. Fields in `hidden` are omitted. `indent`
// is the number of spaces before each line.
std::string
render_fields(const boost::json::object& fields,
              const std::set<std::string, std::less<>>& hidden,
              std::size_t indent = 0);

// Replaces everything in the text that looks like a workspace key by "pskey_...".
std::string
redact_keys(std::string_view text);

}
