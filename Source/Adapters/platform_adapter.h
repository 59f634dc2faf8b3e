#pragma once

#include "Base/table.h"
#include "Control/membership.h"
#include "Net/platform_client.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace persimmonshelf {

// Implements the engine's interface to the platform (table and instance list) with HTTP calls. Used
// on the engine thread; the calls run on the platform thread.
class platform_adapter
{
public:
  using list_callback = std::function<void(result<std::vector<listed_instance>>)>;

  // `execute` starts a call; it returns false if the call was not accepted.
  explicit platform_adapter(std::function<bool(platform_call)> execute);

  table_hooks table();
  void list_instances(list_callback done);

  // Removes and returns the callback that handles a reply; empty for an unknown id. The callback
  // must run on the engine thread as a separate engine event.
  std::function<void()> take_callback(platform_reply reply);

  // Removes and returns the callbacks of calls that `execute` did not accept. Each must run as a
  // separate engine event.
  std::vector<std::function<void()>> take_failed_callbacks();

private:
  using reply_handler = std::function<void(const platform_reply&)>;
  void call(std::string method, std::string target, std::string body, reply_handler done);

  std::function<bool(platform_call)> execute_;
  std::map<std::uint64_t, reply_handler> pending_;
  std::vector<std::uint64_t> failed_ids_;
  std::uint64_t next_id_ = 1;
};

}
