/**
 * The platform's transactional table and object store: the interfaces, the HTTP adapter, and the
 * embedded one that keeps everything in memory. Depends on links.
 */
package org.parsleycart.store;
