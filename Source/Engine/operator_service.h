#pragma once

#include "Engine/engine.h"
#include "Engine/operator_answer.h"

#include <boost/json/object.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonshelf {

// HTTP request of an operator's command.
struct operator_request
{
  std::string method;
  std::string target;
  std::string body;
};

// Handles the operator commands: configuration, keys, status, account, traces and planned stop.
class operator_service
{
public:
  using respond = std::function<void(operator_answer)>;

  // `drain` starts a planned stop of this instance.
  operator_service(engine& target, std::function<void()> drain);

  void handle(const operator_request& request, const respond& reply, instant now);

  // Answers the key changes that enough instances have acknowledged, and those that timed out.
  void tick(instant now);

private:
  // A stored change of the key set that has not yet been acknowledged by enough instances.
  struct pending_key_change
  {
    config_version version;
    boost::json::object body;
    respond reply;
    instant deadline;
  };

  void get(std::string_view path, const respond& reply, instant now);
  void post(std::string_view path, const std::string& text, const respond& reply, instant now);
  void set_config(const boost::json::value& body, const respond& reply, instant now);
  void diff_config(const boost::json::value& body, const respond& reply);
  void add_key(const boost::json::value& body, const respond& reply, instant now);
  void revoke_key(const boost::json::value& body, const respond& reply, instant now);
  void publish_keys(const key_set& changed,
                    const std::string& edit_id,
                    const boost::json::object& body,
                    const respond& reply,
                    instant now);
  std::string derive_key(const std::string& workspace, const std::string& edit_id) const;

  engine& engine_;
  std::function<void()> drain_;
  std::vector<pending_key_change> pending_key_changes_;
};

}
