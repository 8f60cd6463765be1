#pragma once

#include "src/base/units.hpp"
#include "src/routing/peer_ip.hpp"
#include "src/routing/stream_origin.hpp"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <map>
#include <optional>

namespace tanagerlead::routing
{

/// Knows which software version began a stream, for callers that take it up
/// after their connection broke, at any daemon.
///
/// A daemon keeps the origins of its own streams and copies them to a few other
/// daemons, its holders, so that they outlive it. A daemon that does not know
/// an origin asks all others. This is soft state: an origin that nobody knows
/// is never guessed, and its stream is not resumed.
class stream_origins
{
public:
    /// Longer than a caller takes a stream up again.
    static constexpr base::duration retention = std::chrono::seconds{60};
    static constexpr std::size_t max_origins = 32768;
    /// Copies are lost only if a daemon and all its holders die.
    static constexpr std::size_t holder_count = 4;
    /// Streams that begin within this time share one message.
    static constexpr base::duration copy_interval =
        std::chrono::milliseconds{100};
    /// Pause after the first question about an attempt, which doubles with each
    /// one; a question or its answer may be lost.
    static constexpr base::duration question_interval =
        std::chrono::milliseconds{60};
    /// An origin that nobody has told by then is unknown. Longer than the
    /// daemon that began the stream may need to find it out.
    static constexpr base::duration answer_timeout =
        std::chrono::milliseconds{1300};

    /// A stream of this daemon began, or goes on here after another daemon told
    /// its origin.
    void on_begun(stream_origin origin, base::time_point now);
    /// Nothing if the origin is not known here, or not yet.
    std::optional<version_digest> find(attempt_digest attempt) const;
    /// Asks the other daemons, if nobody has been asked yet.
    void ask(attempt_digest attempt, base::time_point now);
    /// Returns the answer to the message's questions, which is empty if none of
    /// them can be answered.
    stream_message on_message(stream_message const& message,
                              base::time_point now);

    /// What is due to be sent, and which questions are given up.
    struct outbox
    {
        /// For the holders.
        std::vector<stream_message> copies_;
        /// For all other daemons.
        std::vector<stream_message> questions_;
        std::vector<attempt_digest> given_up_;
    };
    outbox take_due(base::time_point now);
    base::time_point next_wakeup() const;

    std::size_t size() const { return origins_.size(); }
    /// Streams that began, or went on, later than this are all known here.
    base::time_point complete_since() const { return complete_since_; }

    /// The holders of the origins of `self`, out of the other daemons.
    static std::vector<peer_ip> holders_of(peer_ip self,
                                           std::vector<peer_ip> others);

private:
    struct question
    {
        base::time_point ask_at_;
        base::duration pause_ = question_interval;
        base::time_point give_up_at_;
    };

    void insert(stream_origin origin, base::time_point now);
    void expire(base::time_point now);

    absl::flat_hash_map<attempt_digest, version_digest> origins_;
    std::deque<std::pair<base::time_point, attempt_digest>> by_age_;
    std::vector<stream_origin> uncopied_;
    base::time_point copy_at_ = base::time_point::max();
    std::map<attempt_digest, question> questions_;
    base::time_point complete_since_ = base::time_point::min();
};

} // namespace tanagerlead::routing
