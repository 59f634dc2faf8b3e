#pragma once

#include <boost/json/object.hpp>

#include <set>
#include <string>
#include <string_view>

namespace persimmonshelf {

// Renders the fields of an answer for a terminal: scalars as "name: value", lists of objects as a
// table with aligned columns, nested objects indented. Fields in `hidden` are left out.
std::string
render_fields(const boost::json::object& fields,
              const std::set<std::string, std::less<>>& hidden,
              std::size_t indent = 0);

// The text with everything that looks like a workspace key replaced by "pskey_...".
std::string
redact_keys(std::string_view text);

}
