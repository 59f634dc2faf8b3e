#include "Adapters/daemon_state.h"

#include "Adapters/caller_codec.h"

#include <utility>

namespace persimmonshelf {

namespace {

constexpr std::size_t ring_capacity = 16384;

}

instant
monotonic_now()
{
  return instant(
    std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

daemon::state::state(const instance_settings& read)
  : settings(read)
  , tick_timer(engine_thread.context())
  , caller_to_engine(engine_thread.context(),
                     ring_capacity,
                     [this](tagged_caller_request item) {
                       engine_core->submit(
                         std::move(item.request),
                         [this, correlation_id = item.correlation_id](caller_answer answer) {
                           engine_to_caller.push({ correlation_id, std::move(answer) });
                         },
                         monotonic_now());
                     })
  , engine_to_caller(caller_thread.context(),
                     ring_capacity,
                     [this](const tagged_caller_answer& item) {
                       const auto found = pending_calls.find(item.correlation_id);
                       if (found != pending_calls.end()) {
                         const auto respond = std::move(found->second);
                         pending_calls.erase(found);
                         --unanswered_calls;
                         respond(encode_caller_answer(item.answer));
                       }
                     })
  , operator_to_engine(engine_thread.context(),
                       ring_capacity,
                       [this](const tagged_operator_request& item) {
                         operator_api->handle(
                           item.request,
                           [this, correlation_id = item.correlation_id](operator_answer answer) {
                             engine_to_operator.push({ correlation_id, std::move(answer) });
                           },
                           monotonic_now());
                       })
  , engine_to_operator(operator_thread.context(),
                       ring_capacity,
                       [this](tagged_operator_answer item) {
                         const auto found = pending_commands.find(item.correlation_id);
                         if (found != pending_commands.end()) {
                           const auto respond = std::move(found->second);
                           pending_commands.erase(found);
                           http_response response;
                           response.status = item.answer.status;
                           response.body = std::move(item.answer.body);
                           respond(std::move(response));
                         }
                       })
  , engine_to_backend(backend_thread.context(),
                      ring_capacity,
                      [this](const backend_command& command) { backends->execute(command); })
  , backend_to_engine(engine_thread.context(),
                      ring_capacity,
                      [this](backend_event event) {
                        engine_core->handle_backend_event(std::move(event), monotonic_now());
                      })
  , engine_to_peer(peer_thread.context(),
                   ring_capacity,
                   [this](const outgoing_peer_message& item) {
                     if (!peers->send(item.address, item.message)) {
                       peer_to_engine.push({ std::nullopt, item.id });
                     }
                   })
  , peer_to_engine(engine_thread.context(),
                   ring_capacity,
                   [this](const peer_event& event) {
                     if (event.message) {
                       engine_core->handle_peer_message(*event.message, monotonic_now());
                     } else {
                       engine_core->handle_peer_not_sent(event.unsent_id, monotonic_now());
                     }
                   })
  , engine_to_platform(platform_thread.context(),
                       ring_capacity,
                       [this](platform_call call) { platform_requests->execute(std::move(call)); })
  , platform_to_engine(engine_thread.context(), ring_capacity, [this](platform_reply reply) {
    if (const auto callback = platform->take_callback(std::move(reply))) {
      engine_core->run_platform_callback(callback, monotonic_now());
    }
  })
{
}

}
