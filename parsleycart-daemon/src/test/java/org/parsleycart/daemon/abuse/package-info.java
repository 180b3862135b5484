/** Tests of a daemon process under load from misbehaving clients. */
package org.parsleycart.daemon.abuse;
