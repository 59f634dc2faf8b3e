#pragma once

#include "Proxy/coordinator_lease.h"
#include "proxy_support.h"

#include <cstdint>
#include <optional>
#include <string>

namespace persimmonshelf::testing {

// The row in a store whose answers and calls may be lost or late.
struct lease_row
{
  std::optional<coordinator_row> row;
  store_version version = revision_of(0);

  bool write(const coordinator_row& next, const store_version& expected)
  {
    // The store compares the revision only.
    if (expected.revision() != version.revision()) {
      return false;
    }
    row = next;
    version = { version.era(), version.revision() + 1 };
    return true;
  }
};

struct late_call
{
  instant due;
  coordinator_row row;
  store_version expected;
};

struct lease_holder
{
  lease_holder(const std::string& name,
               std::uint64_t incarnation,
               lease_row& shared,
               bool first_start = true)
    : store(shared)
    , lease(instance_id(name),
            incarnation_id(incarnation),
            name,
            ms(static_cast<std::int64_t>(incarnation) * 30),
            first_start,
            { [this](const coordinator_row& row, const store_version& expected) {
               on_write(row, expected);
             },
              [](bool, const std::string&) {} })
  {
  }

  void on_write(const coordinator_row& row, const store_version& expected)
  {
    pending = late_call{ instant{}, row, expected };
  }

  lease_row& store;
  std::optional<late_call> pending;
  coordinator_lease lease;
};

// A row that names another instance.
inline coordinator_row
row_of(const std::string& holder, std::uint64_t token)
{
  return { instance_id(holder),  incarnation_id(9),
           fencing_token(token), holder,
           short_lease_duration, 1 };
}

inline std::int64_t
in_ms(duration time)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

}
