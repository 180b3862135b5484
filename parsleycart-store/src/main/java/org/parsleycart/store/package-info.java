/**
 * The transactional table and object store that keep what must last: the interfaces, and the
 * embedded one that keeps everything in memory. Depends on links.
 */
package org.parsleycart.store;
