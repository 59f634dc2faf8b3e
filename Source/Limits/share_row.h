#pragma once

#include "Base/error.h"
#include "Base/ids.h"
#include "Limits/share_settings.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace persimmonshelf {

// Share of one holder of a workspace's rate and burst, in parts per million.
struct share_entry
{
  incarnation_id incarnation;
  std::int64_t base_ppm = 0;
  std::int64_t extra_ppm = 0;
  // What the holder lacks. Others give only while someone lacks something, so that shares do not
  // move back and forth.
  std::int64_t shortfall_ppm = 0;

  std::int64_t total() const { return base_ppm + extra_ppm; }
  friend bool operator==(const share_entry&, const share_entry&) = default;
};

// One run of one instance.
struct share_owner
{
  instance_id instance;
  incarnation_id incarnation;
};

// The row "share/<workspace>". Every function returns a new row in which the sum of all shares is
// at most one million; a wish that is not allowed returns the row unchanged.
class share_row
{
public:
  static std::string key(const workspace_id& workspace);

  // Empty text is the empty row. Fails with malformed_answer if the text is not a row or its shares
  // exceed one million.
  static result<share_row> parse(std::string_view text);
  std::string to_json() const;

  const std::map<instance_id, share_entry>& holders() const { return holders_; }
  const share_entry* find(const instance_id& instance) const;
  std::int64_t unassigned() const;
  std::int64_t base_total() const;
  // Sum of what all holders but `self` lack.
  std::int64_t shortfall_of_others(const instance_id& self) const;

  // Adds a holder with at most `ppm` from the unassigned part. Base is taken while the base of all
  // holders is below `base_limit`, the rest is extra.
  share_row join(const share_owner& owner, std::int64_t ppm, std::int64_t base_limit) const;
  // Removes the owner's entry.
  share_row leave(const share_owner& owner) const;
  // Hands the entry of an earlier run of the instance to this run.
  share_row take_over(const share_owner& owner) const;
  // Lowers the owner's share by `ppm`, extra first.
  share_row shrink(const share_owner& owner, std::int64_t ppm) const;
  // Raises the owner's share by at most `ppm` from the unassigned part, split as for join.
  share_row grow(const share_owner& owner, std::int64_t ppm, std::int64_t base_limit) const;
  share_row set_shortfall(const share_owner& owner, std::int64_t ppm) const;
  // Takes what expired from a holder whose lease row was seen unchanged for `unchanged`.
  share_row reclaim(const instance_id& holder,
                    duration unchanged,
                    const share_settings& settings) const;

  friend bool operator==(const share_row&, const share_row&) = default;

private:
  share_entry* find_owned(const share_owner& owner);
  void assign(share_entry& entry, std::int64_t ppm, std::int64_t base_limit) const;

  std::map<instance_id, share_entry> holders_;
};

}
