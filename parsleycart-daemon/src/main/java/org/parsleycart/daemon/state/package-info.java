/** What calls read of the duties' work. The other packages of the daemon may depend on it. */
package org.parsleycart.daemon.state;
