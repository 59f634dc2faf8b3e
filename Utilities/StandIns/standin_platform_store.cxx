#include "StandIns/standin_platform_store.h"

#include <boost/json/object.hpp>

#include <utility>

namespace persimmonshelf {

namespace json = boost::json;

table_row
standin_store::get(const std::string& key) const
{
  const auto found = rows_.find(key);
  if (found == rows_.end()) {
    return { key, {}, 0 };
  }
  return { key, found->second.back().value, found->second.size() };
}

std::optional<table_row>
standin_store::write(const std::vector<standin_table_write>& writes, const std::string& author)
{
  for (const auto& next : writes) {
    auto row = get(next.key);
    if (next.if_revision && *next.if_revision != row.revision) {
      return row;
    }
  }
  for (const auto& next : writes) {
    rows_[next.key].push_back({ next.value, author });
  }
  return std::nullopt;
}

std::vector<table_row>
standin_store::list(const std::string& prefix) const
{
  std::vector<table_row> rows;
  for (auto next = rows_.lower_bound(prefix);
       next != rows_.end() && next->first.starts_with(prefix);
       ++next) {
    rows.push_back(get(next->first));
  }
  return rows;
}

void
standin_store::put_object(const std::string& key, std::string content)
{
  objects_[key] = std::move(content);
}

const std::string*
standin_store::object(const std::string& key) const
{
  const auto found = objects_.find(key);
  return found == objects_.end() ? nullptr : &found->second;
}

json::array
standin_store::history(const std::string& key) const
{
  json::array writes;
  const auto found = rows_.find(key);
  if (found == rows_.end()) {
    return writes;
  }
  for (const auto& write : found->second) {
    writes.push_back(json::object{
      { "revision", writes.size() + 1 }, { "value", write.value }, { "author", write.author } });
  }
  return writes;
}

}
