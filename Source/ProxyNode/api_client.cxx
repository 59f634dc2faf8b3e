#include "ProxyNode/api_client.h"

#include "ProxyNode/boot_clock.h"
#include "platform/store_format.h"

#include <utility>

namespace persimmonshelf {

api_client::api_client(boost::asio::io_context& context,
                       const tcp_address& address,
                       std::string era_header)
  : client_(std::make_unique<platform_client>(
      context,
      address,
      std::string(),
      [this](platform_reply reply) { handle_reply(std::move(reply)); }))
  , era_header_(std::move(era_header))
{
}

void
api_client::execute(platform_call call, reply_handler done)
{
  call.id = ++last_call_;
  call.kept_header = era_header_;
  pending_.emplace(call.id, pending_call{ std::move(done), boot_now() });
  client_->execute(std::move(call));
}

void
api_client::handle_reply(platform_reply reply)
{
  auto found = pending_.extract(reply.id);
  if (found.empty()) {
    return;
  }
  const auto era = platform::parse_era(reply.kept_header);
  if (!era) {
    // Nothing in the answer can be ordered with what is known.
    found.mapped().done({ 0, era.error().message, {}, found.mapped().sent });
    return;
  }
  found.mapped().done({ reply.status, std::move(reply.body), era.value(), found.mapped().sent });
}

void
api_client::get(std::string target, duration timeout, reply_handler done)
{
  platform_call call;
  call.method = "GET";
  call.target = std::move(target);
  call.timeout = timeout;
  execute(std::move(call), std::move(done));
}

void
api_client::post(std::string_view target, std::string body, duration timeout, reply_handler done)
{
  platform_call call;
  call.method = "POST";
  call.target = target;
  call.body = std::move(body);
  call.timeout = timeout;
  execute(std::move(call), std::move(done));
}

void
api_client::post_on_new_connection(std::string_view target,
                                   std::string body,
                                   std::vector<std::pair<std::string, std::string>> headers,
                                   duration timeout,
                                   reply_handler done)
{
  platform_call call;
  call.method = "POST";
  call.target = target;
  call.body = std::move(body);
  call.headers = std::move(headers);
  call.timeout = timeout;
  call.fresh_connection = true;
  execute(std::move(call), std::move(done));
}

}
