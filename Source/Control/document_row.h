#pragma once

#include "Base/error.h"
#include "Base/ids.h"
#include "Base/table.h"

#include <string>
#include <vector>

namespace persimmonshelf {

// Identity of an accepted version.
struct document_version
{
  config_version version;
  std::string author;
  std::string edit_id;
};

// Value of a document's row in the platform's table, stored as JSON {"version","author","edit_id",
// "content","earlier"}.
struct document_row
{
  document_version version;
  std::string content;
  // Earlier versions, newest first. They identify an edit that was followed by other edits and
  // whose response was lost.
  std::vector<document_version> earlier;

  // Returns version 0 for a row that does not exist. Fails with config_invalid if the value is
  // malformed.
  static result<document_row> parse(const table_row& row);
  // Returns the row's value for the table.
  std::string format() const;
};

}
