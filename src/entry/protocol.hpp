#pragma once

#include "src/base/error.hpp"
#include "src/net/http_message.hpp"
#include "src/routing/configuration.hpp"
#include "src/routing/limit_statement.hpp"
#include "src/routing/prompt_part.hpp"
#include "src/routing/target_info.hpp"

#include <optional>
#include <string>
#include <string_view>

/// The daemon that routes requests from callers to targets.
namespace tanagerlead::entry
{

/// Data of a request from its header fields.
struct request_metadata
{
    /// Identifies one attempt of the caller; forwarded unchanged.
    std::string request_id_;
    std::string key_;
    /// How long the caller waits; if absent, the timeout of the route applies.
    std::optional<base::duration> time_left_;
    bool has_tokens_ = false;
    base::token_count prompt_tokens_ = 0;
    base::token_count max_output_tokens_ = 0;
    /// Hash of the last part of the prompt; 0 if the caller gave none.
    std::uint64_t affinity_ = 0;
    /// The parts of the prompt before the last one.
    routing::prompt_parts shared_parts_;
    /// All parts of the prompt; empty if one of them has no length.
    routing::sized_prompt_parts sized_parts_;
    /// Last event that the caller has received.
    std::optional<std::uint64_t> last_event_;
    /// The attempt of the caller that brought the first event of this stream;
    /// empty if the request does not resume one.
    std::string resumed_attempt_;
};

/// Data that the daemon adds to a forwarded request.
struct forward_metadata
{
    base::target_id target_;
    /// Empty for an anonymous caller.
    base::workspace_id workspace_;
    base::duration time_left_{};
    /// If set, the target resumes the stream after this event.
    std::optional<std::uint64_t> last_event_;
};

/// Data that changes in a request that another daemon is to forward.
struct relay_metadata
{
    base::duration time_left_{};
    std::optional<std::uint64_t> last_event_;
    /// See request_metadata.
    std::string resumed_attempt_;
};

/// Data of an answer from its header fields.
struct answer_metadata
{
    /// Identifies the answered request; may be empty.
    std::string request_id_;
    /// The target did not execute the request and never will.
    bool not_executed_ = false;
    /// The answer carries the target's signature.
    bool is_signed_ = false;
    /// The answer was modified in transit, so its bytes are not the target's.
    bool is_altered_ = false;
    /// The answer comes from another target than the request was meant for.
    bool is_wrong_target_ = false;
    /// The target is shutting down.
    bool is_leaving_ = false;
    /// The target refused the request and wants no more from this daemon for
    /// this long.
    std::optional<base::duration> pause_;
    /// Requests that the target takes from all daemons together.
    std::optional<routing::request_rate> limit_;
    /// It names a limit that cannot be read.
    bool is_limit_malformed_ = false;
    /// The target falls over if it has to turn more requests away than these.
    std::optional<routing::request_rate> max_rejections_;
};

/// A caller's request for the addresses of daemons.
struct directory_query
{
    base::data_centre_id data_centre_;
};

struct directory_answer
{
    std::vector<base::address> addresses_;
    base::duration ttl_{};
};

/// Translates between the external formats of callers, targets and operators
/// and internal types; makes no decisions. Safe to use on any thread.
class protocol
{
public:
    virtual ~protocol() = default;

    /// Errors name the malformed header field.
    virtual base::result<request_metadata>
    read_request_metadata(net::header_list const& headers) const = 0;
    virtual net::header_list
    forward_headers(net::header_list const& caller,
                    forward_metadata const& metadata) const = 0;
    /// The fields of the caller's request, for another daemon.
    virtual net::header_list
    relay_headers(net::header_list const& caller,
                  relay_metadata const& metadata) const = 0;
    virtual answer_metadata
    read_answer_metadata(net::http_response const& head) const = 0;

    /// Returns no value if the path is not that of a directory query.
    virtual std::optional<directory_query>
    read_directory_query(std::string_view target) const = 0;
    virtual std::string
    write_directory_answer(directory_answer const& answer) const = 0;
    virtual bool is_readiness_query(std::string_view target) const = 0;

    /// Parses the configuration document of the operators.
    virtual base::result<routing::configuration_ptr>
    read_configuration(std::string_view document) const = 0;
    /// Parses a registry entry. An entry with an error describes no target.
    virtual base::result<routing::target_info>
    read_target(std::string_view key, std::string_view value) const = 0;
    virtual base::target_id target_id_of(std::string_view key) const = 0;

    /// Keys in the store.
    virtual std::string configuration_key() const = 0;
    virtual std::string target_prefix() const = 0;
};

} // namespace tanagerlead::entry
