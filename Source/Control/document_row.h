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

// Value of a document's row in the platform's table: JSON {"version","author","edit_id","content",
// "earlier"}.
struct document_row
{
  document_version version;
  std::string content;
  // The versions before this one, newest first. They identify an edit whose answer was lost and
  // that others followed.
  std::vector<document_version> earlier;

  // Version 0 for a row that does not exist; config_invalid if the value is damaged.
  static result<document_row> parse(const table_row& row);
  std::string format() const;
};

}
