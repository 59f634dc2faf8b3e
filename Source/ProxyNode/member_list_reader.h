#pragma once

#include "Proxy/fleet_configuration.h"
#include "platform/store_format.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace persimmonshelf {

// Reads the members' list from the rows of its table. Other writers may store any value there, so a
// row that does not describe a usable member is left out and the others are used.
class member_list_reader
{
public:
  struct list
  {
    std::vector<listed_member> members;
    // Reasons for rows that were left out and were not, or for another reason, in the last call.
    std::vector<std::string> new_problems;
  };

  list read(const std::map<std::string, platform::store_row>& rows);

  // Number of rows that the last call left out.
  std::size_t unusable_rows() const { return problems_.size(); }

private:
  // Reason by key, for the rows that the last call left out.
  std::map<std::string, std::string> problems_;
};

}
