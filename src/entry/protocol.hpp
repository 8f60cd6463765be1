#pragma once

#include "src/base/error.hpp"
#include "src/net/http_message.hpp"
#include "src/routing/configuration.hpp"
#include "src/routing/target_info.hpp"

#include <optional>
#include <string>
#include <string_view>

/// The daemon for routed requests: callers on one side, targets on the other.
namespace tanagerlead::entry
{

/// What a caller says of its request beside method, path and body.
struct request_metadata
{
    /// Names one try of a caller; passed on as it is.
    std::string request_id_;
    std::string key_;
    /// How long the caller waits; absent: as long as the route allows.
    std::optional<base::duration> time_left_;
    bool has_tokens_ = false;
    base::token_count prompt_tokens_ = 0;
    base::token_count max_output_tokens_ = 0;
    /// Of the last part of the prompt; 0: none named.
    std::uint64_t affinity_ = 0;
    /// The caller has the events up to this one.
    std::optional<std::uint64_t> last_event_;
};

/// What the system adds for the target.
struct forward_metadata
{
    base::target_id target_;
    /// Empty for an anonymous caller.
    base::workspace_id workspace_;
    base::duration time_left_{};
    /// Set when the stream is to go on after this event.
    std::optional<std::uint64_t> last_event_;
};

/// What a target says of its answer.
struct answer_metadata
{
    /// Names the request that is answered; may be empty.
    std::string request_id_;
    /// It did not run the request and never will.
    bool not_executed_ = false;
    /// The target vouches for the answer.
    bool is_signed_ = false;
    /// Changed on the way, so not the target's bytes.
    bool is_altered_ = false;
};

/// A caller's question where to connect.
struct directory_query
{
    base::data_centre_id data_centre_;
};

struct directory_answer
{
    std::vector<base::address> addresses_;
    base::duration ttl_{};
};

/// How callers, targets and operators speak. Translates and decides nothing.
/// Any thread.
class protocol
{
public:
    virtual ~protocol() = default;

    /// Errors name the header field that is malformed.
    virtual base::result<request_metadata>
    read_request_metadata(net::header_list const& headers) const = 0;
    virtual net::header_list
    forward_headers(net::header_list const& caller,
                    forward_metadata const& metadata) const = 0;
    virtual answer_metadata
    read_answer_metadata(net::http_response const& head) const = 0;

    /// Empty when the path asks something else.
    virtual std::optional<directory_query>
    read_directory_query(std::string_view target) const = 0;
    virtual std::string
    write_directory_answer(directory_answer const& answer) const = 0;
    virtual bool is_readiness_query(std::string_view target) const = 0;

    /// Reads the operators' document.
    virtual base::result<routing::configuration_ptr>
    read_configuration(std::string_view document) const = 0;
    /// Reads an entry of the registry. An error names no target.
    virtual base::result<routing::target_info>
    read_target(std::string_view key, std::string_view value) const = 0;
    virtual base::target_id target_id_of(std::string_view key) const = 0;

    /// Keys of the store.
    virtual std::string configuration_key() const = 0;
    virtual std::string target_prefix() const = 0;
};

} // namespace tanagerlead::entry
