#pragma once

#include "Base/error.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace persimmonshelf {

// One row of the platform's table service. Revision 0 stands for a row that does not exist.
struct table_row
{
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
};

// Result of a conditional write that the table answered.
struct table_write
{
  // True if the row was written; `row` then carries its new revision. Otherwise `row` is the
  // current row, whose revision differed from the expected one.
  bool written = false;
  table_row row;
};

// Access to the platform's table service for logic modules. Calls return at once and report later
// on the engine's thread, or never earlier than the call returns. A failure is
// platform_unavailable: the call may or may not have taken effect.
struct table_hooks
{
  std::function<void(std::string key, std::function<void(result<table_row>)>)> get;

  // Writes if the row's revision is `if_revision`; 0 means that the row must not exist yet.
  std::function<void(std::string key,
                     std::string value,
                     std::uint64_t if_revision,
                     std::function<void(result<table_write>)>)>
    put;

  // All rows whose key starts with `prefix`, in key order.
  std::function<void(std::string prefix, std::function<void(result<std::vector<table_row>>)>)> list;
};

}
