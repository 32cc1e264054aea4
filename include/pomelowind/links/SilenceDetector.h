// Tells a peer that has fallen silent from one that has nothing to say. The owner of a link sends a PING in each
// period; the peer answers with a PONG. Counts periods rather than time: after a suspension of this process the frames
// that have arrived meanwhile are read before the next period ends. Pure decision logic without I/O.
#pragma once

namespace pomelowind::links {

// Thread safety: confined to the thread of its link.
class SilenceDetector {
public:
    // Precondition: maxUnanswered > 0.
    explicit SilenceDetector(int maxUnanswered)
        : m_maxUnanswered(maxUnanswered)
    {
    }
    // A frame has arrived on the link.
    void onReceived() { m_unanswered = 0; }
    // A period has ended. Returns true when the peer has answered none of the last `maxUnanswered` pings; the link
    // should then be closed. Else the next ping is due.
    bool onPeriodEnded() { return m_unanswered++ >= m_maxUnanswered; }

private:
    int m_maxUnanswered;
    int m_unanswered { 0 };
};

} // namespace pomelowind::links
