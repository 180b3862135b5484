/** The settings of a daemon and their YAML form. */
package org.parsleycart.daemon.settings;
