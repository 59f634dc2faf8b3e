#include "Control/document_row.h"

#include "Base/json_fields.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <limits>
#include <utility>

namespace persimmonshelf {

namespace json = boost::json;

namespace {

result<document_version>
read_version(json_fields& fields)
{
  const auto version = fields.integer("version", 1, std::numeric_limits<std::int64_t>::max());
  if (!version) {
    return version.error();
  }
  auto author = fields.text("author");
  if (!author) {
    return author.error();
  }
  auto edit_id = fields.text("edit_id");
  if (!edit_id) {
    return edit_id.error();
  }
  return document_version{ config_version(static_cast<std::uint64_t>(version.value())),
                           std::move(author).value(),
                           std::move(edit_id).value() };
}

json::object
version_fields(const document_version& version)
{
  return { { "version", static_cast<std::int64_t>(version.version.get()) },
           { "author", version.author },
           { "edit_id", version.edit_id } };
}

}

result<document_row>
document_row::parse(const table_row& row)
{
  document_row content;
  if (row.revision == 0) {
    return content;
  }
  const auto root = parse_json(row.value, result_code::config_invalid);
  if (!root) {
    return root.error();
  }
  const auto place = "row " + row.key;
  auto created = json_fields::create(root.value(), place, result_code::config_invalid);
  if (!created) {
    return created.error();
  }
  auto& fields = created.value();
  auto version = read_version(fields);
  if (!version) {
    return version.error();
  }
  content.version = std::move(version).value();
  auto text = fields.text("content");
  if (!text) {
    return text.error();
  }
  content.content = std::move(text).value();
  const auto* earlier = fields.find("earlier");
  if (earlier == nullptr || !earlier->is_array()) {
    return fail(result_code::config_invalid, place + ".earlier: expected an array");
  }
  for (const auto& item : earlier->as_array()) {
    auto inner = json_fields::create(item, place + ".earlier", result_code::config_invalid);
    if (!inner) {
      return inner.error();
    }
    auto before = read_version(inner.value());
    if (!before) {
      return before.error();
    }
    content.earlier.push_back(std::move(before).value());
  }
  return content;
}

std::string
document_row::format() const
{
  auto fields = version_fields(version);
  fields["content"] = content;
  json::array before;
  for (const auto& one : earlier) {
    before.push_back(version_fields(one));
  }
  fields["earlier"] = std::move(before);
  return json::serialize(fields);
}

}
