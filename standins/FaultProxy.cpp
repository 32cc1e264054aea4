#include "standins/FaultProxy.h"

#include "pomelowind/base/Errors.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>
#include <set>

namespace pomelowind::standins {

namespace {

    using boost::asio::ip::tcp;
    using boost::system::error_code;

    constexpr auto HOLD_CHECK_PERIOD = base::Millis(10);

    tcp::endpoint endpointOf(const base::Address& address)
    {
        return { boost::asio::ip::make_address(address.ip), address.port };
    }

    // The directions of one connection whose bytes are discarded.
    struct Silence {
        bool forward { false };
        bool backward { false };
    };

    // Forwards the bytes of one direction of one connection and applies the link's current fault. Closes both sockets
    // on the first error.
    class ByteForwarder : public std::enable_shared_from_this<ByteForwarder> {
    public:
        ByteForwarder(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to, const ProxyFault& fault,
            std::shared_ptr<const Silence> silence, bool forward)
            : m_from(std::move(from))
            , m_to(std::move(to))
            , m_fault(fault)
            , m_silence(std::move(silence))
            , m_forward(forward)
            , m_timer(m_from->get_executor())
        {
        }

        void read()
        {
            m_from->async_read_some(
                boost::asio::buffer(m_buffer), [self = shared_from_this()](error_code ec, size_t n) {
                    if (ec)
                        return self->closeBoth();
                    self->m_size = n;
                    self->delayThenWrite(self->m_fault.delay);
                });
        }

    private:
        void delayThenWrite(base::Millis delay)
        {
            bool isHeld = m_forward ? m_fault.holdForward : m_fault.holdBackward;
            if (!isHeld && delay.count() == 0)
                return write();
            m_timer.expires_after(isHeld ? HOLD_CHECK_PERIOD : delay);
            m_timer.async_wait([self = shared_from_this(), isHeld, delay](
                                   error_code) { self->delayThenWrite(isHeld ? delay : base::Millis(0)); });
        }

        void write()
        {
            if (m_forward ? m_silence->forward : m_silence->backward)
                return read();
            boost::asio::async_write(*m_to, boost::asio::buffer(m_buffer.data(), m_size),
                [self = shared_from_this()](error_code ec, size_t) {
                    if (ec)
                        return self->closeBoth();
                    self->read();
                });
        }

        void closeBoth()
        {
            error_code ec;
            m_from->close(ec);
            m_to->close(ec);
        }

        std::shared_ptr<tcp::socket> m_from;
        std::shared_ptr<tcp::socket> m_to;
        const ProxyFault& m_fault;
        std::shared_ptr<const Silence> m_silence;
        bool m_forward;
        boost::asio::steady_timer m_timer;
        std::array<char, 32768> m_buffer {};
        size_t m_size { 0 };
    };

}

// Accepts the connections of one proxied address.
class FaultProxy::Link {
public:
    Link(boost::asio::io_context& io, const ProxyLink& settings)
        : m_io(io)
        , m_settings(settings)
        , m_acceptor(io, endpointOf(settings.listen))
    {
        accept();
    }

    void setFault(const ProxyFault& fault)
    {
        m_fault = fault;
        for (const auto& weak : m_silences) {
            if (auto silence = weak.lock()) {
                silence->forward = silence->forward || fault.silenceForward;
                silence->backward = silence->backward || fault.silenceBackward;
            }
        }
        if (!fault.cut)
            return;
        for (const auto& weak : m_sockets) {
            error_code ec;
            if (auto socket = weak.lock())
                socket->close(ec);
        }
        m_sockets.clear();
    }

private:
    void accept()
    {
        m_acceptor.async_accept([this](error_code ec, tcp::socket socket) {
            if (ec == boost::asio::error::operation_aborted)
                return;
            if (!ec && !m_fault.cut)
                connect(std::make_shared<tcp::socket>(std::move(socket)));
            accept();
        });
    }

    void connect(std::shared_ptr<tcp::socket> client)
    {
        auto server = std::make_shared<tcp::socket>(m_io);
        std::erase_if(m_sockets, [](const auto& it) { return it.expired(); });
        std::erase_if(m_silences, [](const auto& it) { return it.expired(); });
        auto silence = std::make_shared<Silence>();
        m_silences.push_back(silence);
        m_sockets.push_back(client);
        m_sockets.push_back(server);
        server->async_connect(endpointOf(m_settings.forward), [this, client, server, silence](error_code ec) {
            error_code ignored;
            if (ec)
                return void(client->close(ignored));
            client->set_option(tcp::no_delay(true), ignored);
            server->set_option(tcp::no_delay(true), ignored);
            std::make_shared<ByteForwarder>(client, server, m_fault, silence, true)->read();
            std::make_shared<ByteForwarder>(server, client, m_fault, silence, false)->read();
        });
    }

    boost::asio::io_context& m_io;
    ProxyLink m_settings;
    tcp::acceptor m_acceptor;
    ProxyFault m_fault;
    std::vector<std::weak_ptr<tcp::socket>> m_sockets;
    std::vector<std::weak_ptr<Silence>> m_silences; // of the open connections
};

FaultProxy::FaultProxy(boost::asio::io_context& io, const std::vector<ProxyLink>& links)
{
    for (const auto& it : links)
        m_links[it.name] = std::make_shared<Link>(io, it);
}

FaultProxy::~FaultProxy() = default;

int FaultProxy::setFault(const std::string& prefix, const ProxyFault& fault)
{
    int n = 0;
    for (auto& [name, link] : m_links) {
        if (name.compare(0, prefix.size(), prefix) != 0)
            continue;
        link->setFault(fault);
        ++n;
    }
    return n;
}

void FaultProxy::handle(http::HttpRequest request, std::shared_ptr<http::HttpReply> reply)
{
    constexpr std::string_view PATH = "/v1/faults/";
    auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (request.method != "PUT" || request.path.compare(0, PATH.size(), PATH) != 0 || !body.is_object())
        return reply->send({ 422, {}, "use PUT /v1/faults/PREFIX with a JSON object\n" });
    ProxyFault fault;
    fault.cut = body.value("cut", false);
    fault.holdForward = body.value("hold_forward", false);
    fault.holdBackward = body.value("hold_backward", false);
    fault.delay = base::Millis(body.value("delay_ms", 0));
    int n = setFault(request.path.substr(PATH.size()), fault);
    reply->send({ 200, {}, std::to_string(n) + "\n" });
}

} // namespace pomelowind::standins
