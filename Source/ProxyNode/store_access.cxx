#include "ProxyNode/store_access.h"

#include "ProxyNode/boot_clock.h"

#include <utility>

namespace persimmonshelf {

store_access::store_access(boost::asio::io_context& context, const tcp_address& address)
  : client_(std::make_unique<platform_client>(
      context,
      address,
      std::string(),
      [this](platform_reply reply) { finished(std::move(reply)); }))
{
}

void
store_access::execute(platform_call call, reply_handler done)
{
  call.id = ++last_call_;
  open_.emplace(call.id, open_call{ std::move(done), boot_now() });
  client_->execute(std::move(call));
}

void
store_access::finished(platform_reply reply)
{
  auto found = open_.extract(reply.id);
  if (found.empty()) {
    return;
  }
  found.mapped().done({ reply.status, std::move(reply.body), found.mapped().sent });
}

void
store_access::get(std::string target, duration timeout, reply_handler done)
{
  platform_call call;
  call.method = "GET";
  call.target = std::move(target);
  call.timeout = timeout;
  execute(std::move(call), std::move(done));
}

void
store_access::post(std::string_view target, std::string body, duration timeout, reply_handler done)
{
  platform_call call;
  call.method = "POST";
  call.target = target;
  call.body = std::move(body);
  call.timeout = timeout;
  execute(std::move(call), std::move(done));
}

void
store_access::post_fresh(std::string_view target,
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
