#pragma once

#include "Base/table.h"
#include "Control/membership.h"
#include "Net/platform_client.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace persimmonshelf {

// Translates between the logic's interface to the platform and its HTTP calls. Used on the engine's
// thread; the calls themselves run on the platform thread.
class platform_adapter
{
public:
  using list_callback = std::function<void(result<std::vector<listed_instance>>)>;

  // `execute` passes a call on; false if it was not taken.
  explicit platform_adapter(std::function<bool(platform_call)> execute);

  table_hooks table();
  void list_instances(list_callback done);

  // The callback that is due for a reply; empty for an unknown id. It must run on the engine's
  // thread as an event of its own.
  std::function<void()> take_callback(platform_reply reply);

  // Callbacks of calls that were not taken, to be run as events of their own.
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
