#include "tls/context.h"

#include <arpa/inet.h>
#include <openssl/err.h>
#include <openssl/x509v3.h>

#include <array>
#include <stdexcept>
#include <utility>

namespace marldale::tls {
namespace {

[[noreturn]] void wrong(const std::string& file, const char* what) {
    throw std::runtime_error(file + ": " + what + ": " + lastError());
}

bool isAddress(const std::string& text) {
    in_addr any{};
    return inet_pton(AF_INET, text.c_str(), &any) == 1;
}

}  // namespace

std::string lastError() {
    unsigned long newest = 0;
    for (unsigned long e = ERR_get_error(); e != 0; e = ERR_get_error()) newest = e;
    if (newest == 0) return "no reason is given";
    std::array<char, 256> text{};
    ERR_error_string_n(newest, text.data(), text.size());
    return text.data();
}

Context::Context(Side side, Files files) : side_(side), files_(std::move(files)), context_(read()) {}

void Context::reload() { context_ = read(); }

Context::Handle Context::read() const {
    Handle out(SSL_CTX_new(side_ == Side::server ? TLS_server_method() : TLS_client_method()));
    if (!out) throw std::runtime_error("TLS can't be set up: " + lastError());
    SSL_CTX* const c = out.get();
    SSL_CTX_set_min_proto_version(c, TLS1_2_VERSION);
    SSL_CTX_set_options(c, SSL_OP_NO_RENEGOTIATION);
    SSL_CTX_set_session_cache_mode(c, SSL_SESS_CACHE_OFF);
    if (!files_.certificate.empty()) {
        if (SSL_CTX_use_certificate_chain_file(c, files_.certificate.c_str()) != 1)
            wrong(files_.certificate, "no certificate can be read from it");
        if (SSL_CTX_use_PrivateKey_file(c, files_.key.c_str(), SSL_FILETYPE_PEM) != 1)
            wrong(files_.key, "no key of the certificate can be read from it");
        if (SSL_CTX_check_private_key(c) != 1) wrong(files_.key, "it is not the certificate's key");
    } else if (side_ == Side::server) {
        throw std::runtime_error("TLS needs a certificate and its key on the side that is dialled");
    }
    if (!files_.authority.empty()) {
        if (SSL_CTX_load_verify_locations(c, files_.authority.c_str(), nullptr) != 1)
            wrong(files_.authority, "no authority can be read from it");
        const int both = SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT;
        SSL_CTX_set_verify(c, side_ == Side::server ? both : SSL_VERIFY_PEER, nullptr);
    }
    return out;
}

SslHandle Context::connection(const std::string& peer) const {
    SslHandle out(SSL_new(context_.get()));
    if (!out) throw std::runtime_error("no TLS connection can be made: " + lastError());
    if (side_ == Side::server || peer.empty()) return out;
    X509_VERIFY_PARAM* const verify = SSL_get0_param(out.get());
    if (isAddress(peer)) {
        X509_VERIFY_PARAM_set1_ip_asc(verify, peer.c_str());
    } else {
        X509_VERIFY_PARAM_set1_host(verify, peer.c_str(), peer.size());
        SSL_set_tlsext_host_name(out.get(), peer.c_str());
    }
    return out;
}

}  // namespace marldale::tls
