#pragma once

#include "Base/table.h"

#include <boost/json/array.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmonshelf {

// One write of a table transaction. Without `if_revision` the write is unconditional.
struct standin_table_write
{
  std::string key;
  std::string value;
  std::optional<std::uint64_t> if_revision;
};

// Table and objects of the simulated platform. The revision of a row is the number of writes to it.
class standin_store
{
public:
  // Returns the row, with revision 0 if it does not exist.
  table_row get(const std::string& key) const;

  // Applies all writes, or none if a row's revision differs from the expected one; returns that
  // row.
  std::optional<table_row> write(const std::vector<standin_table_write>& writes,
                                 const std::string& author);

  std::vector<table_row> list(const std::string& prefix) const;

  void put_object(const std::string& key, std::string content);
  const std::string* object(const std::string& key) const;

  // Every write to a row in order, with revision, value and author. Used by checks.
  boost::json::array history(const std::string& key) const;

private:
  struct revision
  {
    std::string value;
    std::string author;
  };

  std::map<std::string, std::vector<revision>> rows_;
  std::map<std::string, std::string> objects_;
};

}
