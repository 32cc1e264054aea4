// The requests of one connection that are not answered yet, in their order. Decides which may be handled and whether
// another one may be read. Performs no I/O.
#pragma once

#include "pomelowind/base/MemoryBudget.h"
#include "pomelowind/http/HttpMessage.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

namespace pomelowind::http {

// A request from the end of its reading until its response has been written.
struct PipelinedRequest {
    uint64_t number { 0 }; // in the order of the requests of the connection
    HttpRequest request; // until it is handled
    bool mayOverlap { false }; // may be handled beside others
    bool isHandled { false }; // passed to the handler, or refused
    bool keepAlive { true }; // the connection may carry another request after it
    bool isHead { false };
    unsigned version { 11 };
    size_t bytes { 0 }; // of the request, and of its response once that is ready
    base::MemoryReservation memory;
    std::function<void()> onCancel;
    std::optional<HttpResponse> response;
    std::optional<size_t> declaredBytes; // of a response that is to be cut off
};

// Thread safety: confined to one event loop thread.
class Pipeline {
public:
    bool empty() const { return m_requests.empty(); }
    size_t size() const { return m_requests.size(); }
    PipelinedRequest& front() { return m_requests.front(); }

    // Adds a request that has been read, and returns it with its number. References stay valid until popFront().
    PipelinedRequest& add(PipelinedRequest request);
    // Removes the first request, whose response has been written. Precondition: not empty.
    void popFront();
    // Returns the request with this number, or null when it has been answered.
    PipelinedRequest* find(uint64_t number);
    // Returns the request that may be handled now, or null. One that may not overlap waits until all before it have
    // been answered.
    PipelinedRequest* nextToHandle();
    // Returns whether another request may be read: the first one always; one behind others only if they may all
    // overlap, none of them ends the connection, and both limits allow it.
    bool mayReadNext(size_t maxRequests, size_t maxBytes) const;
    // Returns the memory that is reserved for the requests and their responses.
    size_t reservedBytes() const;
    // Removes all requests, and returns the functions that cancel those without a response.
    std::vector<std::function<void()>> takeCancellations();

private:
    std::deque<PipelinedRequest> m_requests;
    uint64_t m_nextNumber { 1 };
};

} // namespace pomelowind::http
