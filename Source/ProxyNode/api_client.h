#pragma once

#include "Base/instant.h"
#include "Base/store_version.h"
#include "Net/platform_client.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace persimmonshelf {

// Outcome of one HTTP call. Status 0 means that no answer arrived, or one that cannot be used; the
// call may have taken effect.
struct api_reply
{
  unsigned status = 0;
  std::string body;
  // Era of the store that answered; zero for other services and for a store that states none.
  store_era era{};
  // When the call was passed to the client. The state in the answer is at least as recent as this.
  instant sent{};
};

// HTTP client that passes each answer to the handler of its call. Used for the store, the
// platform's promotion call and the coordinator.
class api_client
{
public:
  using reply_handler = std::function<void(api_reply)>;

  // `era_header` is the header in which the service states its era; empty if it has none.
  api_client(boost::asio::io_context& context,
             const tcp_address& address,
             std::string era_header = {});

  void get(std::string target, duration timeout, reply_handler done);
  void post(std::string_view target, std::string body, duration timeout, reply_handler done);
  // Sends a call on a new connection, which is reset if no answer arrives within the timeout.
  void post_on_new_connection(std::string_view target,
                              std::string body,
                              std::vector<std::pair<std::string, std::string>> headers,
                              duration timeout,
                              reply_handler done);

  std::uint64_t call_count() const { return last_call_; }

private:
  struct pending_call
  {
    reply_handler done;
    instant sent{};
  };
  void execute(platform_call call, reply_handler done);
  void handle_reply(platform_reply reply);

  std::unique_ptr<platform_client> client_;
  std::string era_header_;
  std::map<std::uint64_t, pending_call> pending_;
  std::uint64_t last_call_ = 0;
};

}
