#pragma once

#include "Base/error.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace persimmonshelf {

// One row of the platform's table service. Revision 0 means that the row does not exist.
struct table_row
{
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
};

// Result of a conditional write that the table service processed.
struct table_write
{
  // True if the row was written; `row` then has its new revision. Otherwise the expected revision
  // did not match, and `row` is the current row.
  bool written = false;
  table_row row;
};

// Access of the logic modules to the platform's table service. Calls do not block. Their callback
// runs on the engine's thread, never before the call returns. An error has the code
// platform_unavailable and means that the call may or may not have taken effect.
struct table_hooks
{
  std::function<void(std::string key, std::function<void(result<table_row>)>)> get;

  // Writes only if the row's revision is `if_revision`; 0 means that the row must not exist.
  std::function<void(std::string key,
                     std::string value,
                     std::uint64_t if_revision,
                     std::function<void(result<table_write>)>)>
    put;

  // Reads all rows whose key starts with `prefix`, in key order.
  std::function<void(std::string prefix, std::function<void(result<std::vector<table_row>>)>)> list;
};

}
