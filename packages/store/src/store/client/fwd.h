#ifndef STORE_CLIENT_FWD_H
#define STORE_CLIENT_FWD_H

namespace magnolia::store {

struct HttpStoreOptions;

} // namespace magnolia::store

#endif
